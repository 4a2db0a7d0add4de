package granitefold.policy;

import granitefold.Dispatcher;
import java.util.ArrayList;
import java.util.List;

/** The job of an admitted request. */
final class Job {
    final long id;
    final int classIndex;
    final int tenant;
    final long arrivedAt;
    final long deadline;
    final double workUs;
    final int slots;
    final long key;
    final List<Attempt> attempts = new ArrayList<>(2);
    int openAttempts;
    /** Whether nothing is owed for the request any more. */
    boolean over;

    Job(Dispatcher.Request request, long now, double workUs) {
        id = request.id();
        classIndex = request.jobClass();
        tenant = request.tenant();
        arrivedAt = now;
        deadline = now + request.timeLeftUs();
        slots = slots(request);
        key = request.key();
        this.workUs = workUs;
    }

    /** Returns the slots of a request, clamped to a sane range. */
    static int slots(Dispatcher.Request request) {
        return Math.min(1000, Math.max(1, request.slots()));
    }

    Dispatcher.JobClass jobClass(Dispatcher.Settings settings) {
        return settings.classes().get(classIndex);
    }
}
