package granitefold.standin.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import granitefold.standin.history.Entry.What;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What of a quota may be begun in windows of strain one after the other: its bucket is spent once. */
class QuotaRuleTest {
    private static final long WINDOW_US = 5_000_000;
    /** 500 a window each; a bucket holds 300, and counts may trail to 675. */
    private static final RuleTerms TERMS = new RuleTerms(Map.of(), Map.of("in", 100.0, "over", 100.0), 2_000, 100, true, true, true);

    @Test
    void whatTheBucketsHoldMayBeSpentOnce() {
        assertEquals(List.of(1L), broken(true, 900, 800, 600));
    }

    /** The first window refuses nearly all, as processes that just started may: their buckets are full in the second. */
    @Test
    void whatWasNotSpentIsStillThere() {
        assertEquals(List.of(2L), broken(true, 100, 970, 690));
    }

    @Test
    void noQuotaBindsWhileNobodyIsRefused() {
        assertEquals(List.of(), broken(false, 2_000, 2_000, 2_000));
    }

    /** A window without strain fills the bucket. */
    @Test
    void afterAWindowWithoutStrainTheBucketIsFull() {
        List<Entry> entries = new ArrayList<>();
        window(entries, 0, true, 975);
        window(entries, 1, false, 975);
        window(entries, 2, true, 975);
        window(entries, 3, true, 690);
        assertEquals(List.of(3L), windows(entries));
    }

    /** The windows that break the rule, of some in which so many of {@code over}'s jobs begin. */
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

    /** A tenant that asks for less than its quota, refused or served, and another that asks for more. */
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
