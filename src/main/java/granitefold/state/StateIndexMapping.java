package granitefold.state;

import granitefold.recovery.LearnedState;
import granitefold.state.StateFile.Content;
import java.util.List;

/**
 * Takes a file's places over to those of the present settings: tenants and kinds by their names, a dispatcher's own use by
 * its number. What has no place any more is left out.
 */
public record StateIndexMapping(String dispatcherName, String settingsKey, int me, int siblings, List<String> tenants, List<String> kinds) {

    public Content toContent(LearnedState learned) {
        return new Content(dispatcherName, settingsKey, me, siblings, tenants, kinds, learned);
    }

    /** Why a file is not ours, in one line; null where it is. What was learned under other settings holds under those alone. */
    public String mismatchReason(Content c) {
        return !c.name().equals(dispatcherName) ? "the file is of " + c.name() + ", not " + dispatcherName
                : !c.settings().equals(settingsKey) ? "the file is of other settings than ours, and not used" : null;
    }

    /** What of a file is ours; null where it is another's. */
    public LearnedState remap(Content c) {
        if (mismatchReason(c) != null) {
            return null;
        }
        LearnedState l = c.learned();
        return new LearnedState(l.at(), l.fetchUs(), l.kept(), l.meanWork(), l.works(),
                l.kinds().stream().filter(k -> kind(c, k.kind()) != MISSING)
                        .map(k -> new LearnedState.Kind(kind(c, k.kind()), k.sum(), k.weight(), k.slots())).toList(),
                l.workers().stream().filter(p -> kind(c, p.kind()) != MISSING).map(p -> new LearnedState.Worker(p.id(),
                        kind(c, p.kind()), p.startedAt(), p.lostAt(), p.sum(), p.weight(), p.slots(), p.work(), p.kept())).toList(),
                l.buckets().stream().filter(b -> b.tenant() >= 0 && b.tenant() < c.tenants().size()
                        && tenants.contains(c.tenants().get(b.tenant()))).map(b -> new LearnedState.Bucket(
                        tenants.indexOf(c.tenants().get(b.tenant())), used(c, b.used()), b.credited(), b.refilledAt())).toList(),
                l.keys());
    }

    private static final int MISSING = Integer.MIN_VALUE;

    /** -1 stands for a kind that has no name, then as now. */
    private int kind(Content c, int kind) {
        if (kind == -1) {
            return -1;
        }
        int here = kind < 0 || kind >= c.kinds().size() ? -1 : kinds.indexOf(c.kinds().get(kind));
        return here < 0 ? MISSING : here;
    }

    /** The others' entries are theirs only while the numbers mean the same dispatchers. */
    private List<Long> used(Content c, List<Long> old) {
        if (c.siblings() == siblings && c.me() == me && old.size() == siblings) {
            return old;
        }
        Long[] used = new Long[siblings];
        java.util.Arrays.fill(used, 0L);
        used[me] = c.me() >= 0 && c.me() < old.size() ? old.get(c.me()) : 0;
        return List.of(used);
    }
}
