package granitefold.net;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.TreeSet;

/**
 * Start-time fair queueing (Goyal, Vin, Cheng 1996): the flow that has received the least service goes first, so that one which needs
 * little of it waits for hardly anybody, and one that always wants more gets its equal share. Every second turn goes to the flow
 * that has waited for longest: under ever new names nobody can keep the others waiting.
 */
final class FairQueue {
    /** Something that is served again and again. */
    abstract static class Flow {
        /** The service that it had received when it began to wait, and at the end of its last turn. */
        private long startTagNs;
        private long finishTagNs;
        private long sequence;
        private boolean queued;
    }

    /** Of flows that have received the same, the last one goes first: in a burst of new ones, those that come after it wait for few. */
    private final TreeSet<Flow> byService = new TreeSet<>(Comparator.<Flow>comparingLong(flow -> flow.startTagNs).thenComparingLong(flow -> -flow.sequence));
    private final LinkedHashSet<Flow> byWait = new LinkedHashSet<>();
    /** The service that those who wait have received at least. */
    private long virtualTimeNs;
    private long lastFinishTagNs;
    private long lastSequence;
    private boolean longestWaitNext;

    boolean isEmpty() {
        return byWait.isEmpty();
    }

    int size() {
        return byWait.size();
    }

    /** Adds a flow, unless it waits already. One that has been away goes ahead of those that wait all the time. */
    void add(Flow flow) {
        if (flow.queued) {
            return;
        }
        flow.startTagNs = Math.max(flow.finishTagNs, virtualTimeNs - 1);
        flow.sequence = ++lastSequence;
        flow.queued = true;
        byService.add(flow);
        byWait.add(flow);
    }

    /** Removes a flow that needs no more service. */
    void remove(Flow flow) {
        if (flow.queued) {
            byService.remove(flow);
            byWait.remove(flow);
            flow.queued = false;
        }
    }

    /** Removes and returns the flow to serve next, or returns null. */
    Flow poll() {
        if (isEmpty()) {
            return null;
        }
        Flow next = longestWaitNext ? byWait.iterator().next() : byService.first();
        if (!longestWaitNext) {
            virtualTimeNs = Math.max(virtualTimeNs, next.startTagNs);
        }
        longestWaitNext = !longestWaitNext;
        remove(next);
        return next;
    }

    /** Accounts for the service that a flow has received since {@link #poll}; called before it is added again. */
    void charge(Flow flow, long costNs) {
        flow.finishTagNs = flow.startTagNs + costNs;
        lastFinishTagNs = Math.max(lastFinishTagNs, flow.finishTagNs);
        if (isEmpty()) {
            // nobody has been kept waiting: all start afresh
            virtualTimeNs = Math.max(virtualTimeNs, lastFinishTagNs);
        }
    }
}
