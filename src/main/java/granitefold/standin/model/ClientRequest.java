package granitefold.standin.model;

/** A request of a client, which retries it a limited number of times when it is rejected. */
final class ClientRequest {
    final int jobClass;
    final int tenant;
    final double workUs;
    final double worth;
    final long onTimeDeadlineUs;
    final long deadlineUs;
    int retries;

    ClientRequest(int jobClass, int tenant, double workUs, double worth, long onTimeDeadlineUs, long deadlineUs) {
        this.jobClass = jobClass;
        this.tenant = tenant;
        this.workUs = workUs;
        this.worth = worth;
        this.onTimeDeadlineUs = onTimeDeadlineUs;
        this.deadlineUs = deadlineUs;
    }
}
