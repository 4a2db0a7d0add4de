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
 * Checks tenants' quotas over the whole fleet. Quotas apply only under overload: in a time window in which a tenant below its quota
 * had more than a tenth of its requests rejected, no other tenant may have exceeded its quota by much.
 */
final class QuotaRule {
    private static final long WINDOW_US = 5_000_000;
    private static final double MIN_REFUSED_SHARE = 0.1;
    /** Dispatchers' counts lag by gossip, and token buckets hold several seconds of quota. */
    private static final double QUOTA_TOLERANCE = 1.35;
    /** Capacity of a token bucket, in seconds of quota; it can be spent once and refills from the unused quota of a window. */
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
        // the highest possible bucket level of each tenant at the end of an overloaded window; full after any other window
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
                found.add(new Violation(Rule.QUOTA, w * WINDOW_US, tenant + " had " + c.begun + " jobs started in 5 s, its quota is "
                        + Math.round(quota) + ", while another tenant was rejected within its own", List.of()));
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
