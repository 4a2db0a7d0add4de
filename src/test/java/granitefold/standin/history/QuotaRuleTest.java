package granitefold.standin.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import granitefold.standin.history.Entry.What;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests how many jobs a tenant may start in consecutive windows of overload: its token bucket can be spent only once. */
class QuotaRuleTest {
    private static final long WINDOW_US = 5_000_000;
    /** The quotas are 500 jobs per window; a bucket holds 300, and lagging counts are tolerated up to 675. */
    private static final RuleTerms TERMS = new RuleTerms(Map.of(), Map.of("in", 100.0, "over", 100.0), 2_000, 100, true, true, true);

    @Test
    void bucketCanBeSpentOnce() {
        assertEquals(List.of(1L), broken(true, 900, 800, 600));
    }

    /** Nearly all requests of the first window are rejected, as by processes that just started; the bucket is full in the second. */
    @Test
    void unspentQuotaStaysInTheBucket() {
        assertEquals(List.of(2L), broken(true, 100, 970, 690));
    }

    @Test
    void quotaDoesNotApplyWhileNoRequestIsRejected() {
        assertEquals(List.of(), broken(false, 2_000, 2_000, 2_000));
    }

    /** A window without overload refills the bucket. */
    @Test
    void bucketIsFullAfterAWindowWithoutOverload() {
        List<Entry> entries = new ArrayList<>();
        window(entries, 0, true, 975);
        window(entries, 1, false, 975);
        window(entries, 2, true, 975);
        window(entries, 3, true, 690);
        assertEquals(List.of(3L), windows(entries));
    }

    /** Returns the windows that violate the rule, given how many jobs of tenant {@code over} start in each. */
    private static List<Long> broken(boolean refused, int... begun) {
        List<Entry> entries = new ArrayList<>();
        for (int w = 0; w < begun.length; w++) {
            window(entries, w, refused, begun[w]);
        }
        return windows(entries);
    }

    private static List<Long> windows(List<Entry> entries) {
        return new QuotaRule(TERMS).check(entries).stream().map(v -> v.atUs() / WINDOW_US).toList();
    }

    /** Adds a window in which one tenant stays below its quota, rejected or served, and another one exceeds it. */
    private static void window(List<Entry> entries, int window, boolean refused, int begun) {
        long at = window * WINDOW_US;
        for (int i = 0; i < 400; i++) {
            String txn = "in" + window + "-" + i;
            entries.add(entry(at, What.ASKED, txn, "in", 0));
            entries.add(entry(at + 1, What.ANSWERED, txn, null, refused ? 503 : 200));
        }
        for (int i = 0; i < begun; i++) {
            String txn = "over" + window + "-" + i;
            entries.add(entry(at, What.ASKED, txn, "over", 0));
            entries.add(entry(at + 1, What.BEGUN, txn, null, 0));
        }
    }

    private static Entry entry(long at, What what, String txn, String tenant, long number) {
        return new Entry(at, what, null, null, txn, null, null, tenant, null, number, null);
    }
}
