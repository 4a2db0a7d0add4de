package granitefold.core;

import granitefold.Dispatcher.ListNews;
import granitefold.Dispatcher.State;
import granitefold.Dispatcher.Worker;
import granitefold.health.HealthBoard;
import granitefold.logging.LogEvent;
import java.util.ArrayList;
import java.util.List;

/** The peers as discovery lists them, and as probes and tries judge them. */
final class PeerBook {
    private final Parts core;

    PeerBook(Parts parts) {
        core = parts;
    }

    void listed(ListNews news, PeerList list) {
        if (news != ListNews.CHANGES) {
            core.peers.values().forEach(p -> p.state = State.GONE);
        }
        List<Worker> workers = new ArrayList<>();
        for (PeerList.Entry e : list.entries()) {
            Peer p = core.peers.computeIfAbsent(Peer.id(e.name()), id -> new Peer(e.name()));
            if (!e.address().equals(p.address)) {
                core.pool.closeIdle(p);
                p.address = e.address();
            }
            p.state = e.state();
            p.listed = new Worker(p.id, e.weight(), e.state(), e.startedAtUs(), e.zone(), e.cell(), e.kind());
            workers.add(core.health == null ? p.listed : core.health.seen(p.listed));
        }
        core.peers.values().stream().filter(p -> p.state != State.READY).forEach(core.pool::closeIdle);
        core.peers.values().removeIf(p -> p.state == State.GONE && p.open == 0);
        core.module.listed(core.now, news, workers);
        core.effects.add(new Effect.Log(LogEvent.DISCOVERY_LIST, list.version(), news,
                core.peers.values().stream().filter(p -> p.state == State.READY).count()));
        if (core.health != null) {
            judged(core.health.listed(core.peers.values(), core.now));
        }
    }

    /** Peers that look dead, or alive again: the module hears it as news of the list, and of ready ones only. */
    void judged(List<HealthBoard.Change> changes) {
        List<Worker> workers = new ArrayList<>();
        for (HealthBoard.Change c : changes) {
            Peer p = core.peers.get(c.peer());
            if (p != null && p.state == State.READY) {
                core.effects.add(new Effect.Log(LogEvent.PEER_HEALTH, p.name, c.usable() ? "UP" : c.health(), c.reason()));
                workers.add(core.health.seen(p.listed));
            }
        }
        if (!workers.isEmpty()) {
            core.module.listed(core.now, ListNews.CHANGES, workers);
        }
    }
}
