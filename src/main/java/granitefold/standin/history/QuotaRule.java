package granitefold.standin.history;

import granitefold.standin.history.Entry.What;
import granitefold.standin.history.Violation.Rule;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tenants' quotas over the whole fleet. A quota binds only under strain: a window is looked at where a tenant that asked for
 * less than its own quota was refused a tenth of it. Another one must not have had much more than its quota then.
 */
final class QuotaRule {
    private static final long WINDOW_US = 5_000_000;
    private static final double MIN_REFUSED_SHARE = 0.1;
    /** Counts trail by gossip, and buckets hold some seconds' worth. */
    private static final double QUOTA_TOLERANCE = 1.35;
    /** What a bucket holds at the most, in seconds of the quota; it is spent once, and fills again from what a window leaves. */
    private static final double BURST_S = 3;

    private final RuleTerms terms;

    private static final class Count {
        int asked;
        int refused;
        int begun;
    }

    QuotaRule(RuleTerms terms) {
        this.terms = terms;
    }

    List<Violation> check(List<Entry> sorted) {
        List<Violation> found = new ArrayList<>();
        Map<Long, Map<String, Count>> windows = new java.util.TreeMap<>();
        Map<String, String> tenantOf = new HashMap<>();
        Set<String> sent = new HashSet<>();
        for (Entry e : sorted) {
            long w = e.atUs() / WINDOW_US;
            if (e.what() == What.ASKED) {
                tenantOf.put(e.txn(), e.tenant());
                count(windows, w, e.tenant()).asked++;
            } else if (e.what() == What.ANSWERED && (e.number() == 503 || e.number() == 429)) {
                count(windows, w, tenantOf.get(e.txn())).refused++;
            } else if (e.what() == What.BEGUN && sent.add(e.txn())) {
                count(windows, w, tenantOf.get(e.txn())).begun++;
            }
        }
        // what each tenant's bucket may still hold by the end of a starved window; full after any other
        Map<String, Double> bucketLevel = new HashMap<>();
        windows.forEach((w, counts) -> counts.forEach((tenant, c) -> {
            double quota = quota(tenant);
            boolean starved = counts.entrySet().stream().anyMatch(o -> !o.getKey().equals(tenant)
                    && o.getValue().asked < quota(o.getKey()) && o.getValue().refused > MIN_REFUSED_SHARE * o.getValue().asked);
            double full = quota * BURST_S * 1e6 / WINDOW_US;
            double allowed = QUOTA_TOLERANCE * quota + bucketLevel.getOrDefault((w - 1) + tenant, full);
            if (starved) {
                bucketLevel.put(w + tenant, Math.min(full, Math.max(0, allowed - c.begun)));
            }
            if (quota > 0 && starved && c.begun > allowed) {
                found.add(new Violation(Rule.QUOTA, w * WINDOW_US, tenant + " had " + c.begun + " jobs begun in 5 s, its quota is "
                        + Math.round(quota) + ", while another tenant was refused within its own", List.of()));
            }
        }));
        return found;
    }

    /** A tenant's quota for one window. */
    private double quota(String tenant) {
        return terms.tenants().getOrDefault(tenant, 0.0) * WINDOW_US / 1e6;
    }

    private static Count count(Map<Long, Map<String, Count>> windows, long w, String tenant) {
        return windows.computeIfAbsent(w, k -> new HashMap<>()).computeIfAbsent(tenant == null ? "" : tenant, k -> new Count());
    }
}
