package granitefold.state;

import granitefold.recovery.LearnedState;
import granitefold.state.StateFile.Content;
import java.util.List;

/**
 * Maps the indices of a stored state to those of the present settings: tenants and kinds by their names, and the
 * dispatcher's own use by its index. Entries that have no index any more are left out.
 *
 * @param settingsKey key of the settings, by which a state of other settings is recognised
 * @param dispatcherIndex index of this dispatcher among the dispatchers
 */
public record StateIndexMapping(String dispatcherName, String settingsKey, int dispatcherIndex, int dispatcherCount,
        List<String> tenantNames, List<String> kindNames) {

    /** Returns the content of a state file for a learned state. */
    public Content toContent(LearnedState learned) {
        return new Content(dispatcherName, settingsKey, dispatcherIndex, dispatcherCount, tenantNames, kindNames, learned);
    }

    /**
     * Returns in one line why a file is not for this dispatcher, or null if it is. A state that was learned under other
     * settings is valid under those only.
     */
    public String mismatchReason(Content content) {
        return !content.name().equals(dispatcherName) ? "the file is of " + content.name() + ", not " + dispatcherName
                : !content.settings().equals(settingsKey) ? "the file is of other settings than ours, and not used" : null;
    }

    /** Returns a file's state with the present indices, or null if the file is not for this dispatcher. */
    public LearnedState remap(Content content) {
        if (mismatchReason(content) != null) {
            return null;
        }
        LearnedState learned = content.learned();
        return new LearnedState(learned.at(), learned.fetchUs(), learned.kept(), learned.meanWork(), learned.works(),
                learned.kinds().stream().filter(k -> mapKind(content, k.kind()) != UNMAPPED)
                        .map(k -> new LearnedState.Kind(mapKind(content, k.kind()), k.sum(), k.weight(), k.slots())).toList(),
                learned.workers().stream().filter(p -> mapKind(content, p.kind()) != UNMAPPED).map(p -> new LearnedState.Worker(p.id(),
                        mapKind(content, p.kind()), p.startedAt(), p.lostAt(), p.sum(), p.weight(), p.slots(), p.work(), p.kept())).toList(),
                learned.buckets().stream().filter(b -> b.tenant() >= 0 && b.tenant() < content.tenants().size()
                        && tenantNames.contains(content.tenants().get(b.tenant()))).map(b -> new LearnedState.Bucket(
                        tenantNames.indexOf(content.tenants().get(b.tenant())), mapUsage(content, b.used()), b.credited(), b.refilledAt())).toList(),
                learned.keys());
    }

    private static final int UNMAPPED = Integer.MIN_VALUE;

    /** Maps the index of a kind; -1 stands for a kind without a name and stays -1. */
    private int mapKind(Content content, int kind) {
        if (kind == -1) {
            return -1;
        }
        int mapped = kind < 0 || kind >= content.kinds().size() ? -1 : kindNames.indexOf(content.kinds().get(kind));
        return mapped < 0 ? UNMAPPED : mapped;
    }

    /** Maps the use by each dispatcher; entries of the others are kept only if the indices still mean the same dispatchers. */
    private List<Long> mapUsage(Content content, List<Long> old) {
        if (content.siblings() == dispatcherCount && content.me() == dispatcherIndex && old.size() == dispatcherCount) {
            return old;
        }
        Long[] used = new Long[dispatcherCount];
        java.util.Arrays.fill(used, 0L);
        used[dispatcherIndex] = content.me() >= 0 && content.me() < old.size() ? old.get(content.me()) : 0;
        return List.of(used);
    }
}
