package granitefold.real;

/** Platform settings for tests of the built program. */
final class Samples {
    private Samples() { }

    /** Returns settings with three classes, one of each effect, and these limits in addition to the common ones. */
    static String settings(String limits) {
        return "{\"classes\":[{\"name\":\"ficha\",\"effect\":\"retryable\",\"group\":\"all\",\"onTimeMs\":300,"
                + "\"deadlineMs\":5000,\"points\":1},{\"name\":\"guardar\",\"effect\":\"dedup\",\"group\":\"all\","
                + "\"dedupWindowMs\":12000,\"onTimeMs\":750,\"deadlineMs\":7500,\"points\":2},"
                + "{\"name\":\"once\",\"effect\":\"fragile\",\"onTimeMs\":750,\"deadlineMs\":7500,\"points\":2}],"
                + "\"tenants\":[{\"name\":\"acme\",\"fraction\":1,\"quotaPerS\":50}],\"failureDomains\":[\"a\"],"
                + "\"hostTypes\":[\"m\"],\"familyInfo\":{\"tellsStart\":true},\"me\":0,\"siblings\":1,\"tickMs\":5,"
                + "\"rules\":{\"drainGraceMs\":3000,\"graceToAnswerMs\":20,\"coldFrom\":0.3,\"coldMs\":9000,"
                + "\"tipMultiple\":3,\"fallMs\":2000},\"limits\":{\"cancelling\":true,\"peers\":true,\"maxRetryAfterMs\":2000," + limits + "}}";
    }
}
