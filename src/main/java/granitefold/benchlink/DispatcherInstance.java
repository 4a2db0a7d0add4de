package granitefold.benchlink;

import granitefold.Dispatcher;
import granitefold.Dispatcher.Report;
import granitefold.Dispatcher.Request;
import granitefold.Dispatcher.Settings;
import granitefold.policy.DispatchPolicy;
import granitefold.wire.WireCodes;
import java.util.Base64;
import java.util.List;

/** Connects one dispatcher to the simulator: translates events to calls, and the calls that it makes to actions. */
final class DispatcherInstance implements Dispatcher.Actions {
    private final ReplyLine reply;
    private final Dispatcher dispatcher;
    /** For each value of a load report, the index of the {@link Report} field that it fills, or -1. */
    private final int[] reportFields;
    private boolean isFirst;
    private byte[] lastMessage;
    private String lastMessageBase64;

    DispatcherInstance(Settings settings, List<String> reportNames, long seed, ReplyLine reply) {
        this.reply = reply;
        reportFields = new int[reportNames.size()];
        for (int i = 0; i < reportFields.length; i++) {
            reportFields[i] = switch (reportNames.get(i)) {
                case "rif" -> 0;
                case "q" -> 1;
                case "busy" -> 2;
                case "lat_ms" -> 3;
                case "rate" -> 4;
                case "x0" -> 5;
                case "x1" -> 6;
                default -> -1;
            };
        }
        dispatcher = new DispatchPolicy(settings, seed, this);
    }

    /** Starts or continues a part of the reply; {@code isFirst} if the next action is its first, which needs no comma. */
    void begin(boolean isFirst) {
        this.isFirst = isFirst;
    }

    /** Returns whether no action has been written to the part of the reply. */
    boolean isEmpty() {
        return isFirst;
    }

    void process(long now, Event event, ListTable workerLists) {
        switch (event.verb) {
            case "PowerOn" -> dispatcher.start(now);
            case "Members" -> {
                Dispatcher.ListUpdate update = WireCodes.listUpdate(event.how == null ? "" : event.how);
                dispatcher.listUpdated(now, update, update == Dispatcher.ListUpdate.FAILED ? List.of() : workerLists.get(event.list));
            }
            case "Ingress" -> dispatcher.requested(now, new Request(event.request(), event.category, event.clientGroup,
                    Math.round(event.timeLeftMs * 1000), event.expectedMs * 1000, event.needs, event.ramUnits,
                    WireCodes.key(event.item)));
            case "Note" -> {
                if (event.topic == 1) {
                    dispatcher.started(now, event.request(), event.trial);
                } else if (event.topic == 2) {
                    dispatcher.progressed(now, event.request(), event.trial, event.amount);
                }
            }
            case "Response" -> dispatcher.ended(now, event.request(), event.trial, event.ended, WireCodes.outcome(event.code),
                    report(event));
            case "Expired" -> dispatcher.expired(now, event.request());
            case "Elapsed" -> dispatcher.elapsed(now, event.label);
            case "FromPeer" -> dispatcher.messageReceived(now, event.src, event.body == null ? new byte[0] : event.body);
            default -> { }
        }
    }

    private Report report(Event event) {
        if (event.feedback == null) {
            return null;
        }
        double[] values = {Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN};
        for (int i = 0; i < event.feedbackSize && i < reportFields.length; i++) {
            if (reportFields[i] >= 0) {
                values[reportFields[i]] = event.feedback[i];
            }
        }
        return new Report(values[0], values[1], values[2], values[3] * 1000, values[4], values[5], values[6]);
    }

    private ReplyLine action(String opening) {
        if (!isFirst) {
            reply.raw(",");
        }
        isFirst = false;
        return reply.raw(opening);
    }

    /** Reports that the dispatcher threw an exception, which ends its run. */
    void reportFailure(String why) {
        action("{\"verb\":\"GiveIn\",\"message\":").string(why).raw("}");
    }

    @Override
    public void send(long request, long worker, long waitUs, long startUs) {
        action("{\"verb\":\"Try\",\"msgId\":").number(request).raw(",\"runner\":").number(worker);
        if (waitUs != 0) {
            reply.raw(",\"maxWaitMs\":").millis(waitUs);
        }
        reply.raw("}");
    }

    @Override
    public void cancel(long request, int attempt) {
        action("{\"verb\":\"DropAttempt\",\"msgId\":").number(request).raw(",\"trial\":").number(attempt).raw("}");
    }

    @Override
    public void refuse(long request, long retryAfterUs, Dispatcher.Refusal why) {
        action("{\"verb\":\"Reject\",\"msgId\":").number(request);
        if (retryAfterUs > 0) {
            reply.raw(",\"waitMs\":").millis(retryAfterUs);
        }
        reply.raw("}");
    }

    @Override
    public void fail(long request) {
        action("{\"verb\":\"Surrender\",\"msgId\":").number(request).raw("}");
    }

    @Override
    public void timer(long afterUs, long token) {
        action("{\"verb\":\"Remind\",\"afterMs\":").millis(afterUs).raw(",\"label\":").number(token).raw("}");
    }

    @Override
    public void sendToSibling(int sibling, byte[] message) {
        if (message != lastMessage) {
            // The same message is sent to many siblings: encode it once.
            lastMessage = message;
            lastMessageBase64 = Base64.getEncoder().encodeToString(message);
        }
        action("{\"verb\":\"Announce\",\"whom\":").number(sibling).raw(",\"body\":\"")
                .raw(lastMessageBase64).raw("\"}");
    }

    @Override
    public void watch() {
        action("{\"verb\":\"Watch\",\"active\":true}");
    }
}
