package granitefold.core;

import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.State;

/** The tries of request contexts, on connections to peers: never two of one context at once. */
final class Tries {
    /** How long the end of an answer may follow its last line. */
    private static final long SETTLE_US = 1_000_000;

    private final Parts core;
    private final Requests requests;
    private final PeerBook list;

    Tries(Parts parts, Requests requests, PeerBook list) {
        core = parts;
        this.requests = requests;
        this.list = list;
    }

    void send(RequestContext c, Peer peer, long waitUs) {
        long expiresAt = waitUs > 0 ? Math.min(c.moduleDeadline, core.now + waitUs) : c.moduleDeadline;
        Try t = new Try(c, c.tries.size(), peer, expiresAt);
        c.tries.add(t);
        PeerConnection idle = core.pool.takeIdle(peer, core.now);
        t.connection = idle != null ? idle : core.pool.connect(peer);
        if (t.connection == null) {
            // want of room here says nothing of the peer
            endAfterwards(t, Outcome.MOOT);
            return;
        }
        t.connection.carries = t;
        if (idle != null) {
            write(t);
        } else {
            // it may be up by now and only not read yet: a busy loop must not pass for a dead peer
            t.timer = core.timers.at(Math.min(expiresAt, core.now + core.bounds.connectTimeoutUs()),
                    at -> core.effects.add(new Effect.Look(t.connection.id)));
        }
    }

    private void write(Try t) {
        core.timers.cancel(t.timer);
        t.timer = core.timers.at(t.expiresAt, at -> {
            core.pool.drop(t);
            end(t, Outcome.TIMED_OUT);
        });
        t.connection.state = PeerConnection.State.SENDING;
        if (core.recollection != null) {
            core.recollection.sent(t.context.submission, core.now);
        }
        core.effects.add(new Effect.SendRequest(t.connection.id, t.context.submission.payload(), t.expiresAt - core.now));
    }

    /** The time to connect is up, and all that had come by then has been read. */
    void looked(PeerConnection c) {
        if (c != null && c.state == PeerConnection.State.CONNECTING && c.carries != null) {
            Try t = c.carries;
            core.pool.drop(t);
            end(t, core.now < t.expiresAt ? Outcome.UNREACHABLE : Outcome.MOOT);
        }
    }

    void peerConnected(PeerConnection c) {
        if (c == null || c.carries == null) {
            return;
        }
        Try t = c.carries;
        if (t.context.over || t.peer.state != State.READY) {
            // while the connection came up the client left, or the peer was told to drain: nothing is sent
            core.pool.drop(t);
            end(t, Outcome.MOOT);
        } else {
            write(t);
        }
    }

    void peerSaid(PeerConnection c, TryNews news) {
        Try t = c == null ? null : c.carries;
        if (t == null) {
            return;
        }
        c.stale = false;
        if (news instanceof TryNews.Started) {
            core.module.started(core.now, t.context.id, t.number);
        } else if (news instanceof TryNews.Progressed p) {
            core.module.progressed(core.now, t.context.id, t.number, p.share());
        } else {
            c.carries = null;
            core.pool.settle(c, core.now + SETTLE_US);
            if (news instanceof TryNews.Served s) {
                if (!t.context.over) {
                    requests.answer(t.context, new FinalAnswer.Served(s.result()));
                }
                end(t, Outcome.SERVED);
            } else if (news instanceof TryNews.Returned) {
                end(t, Outcome.FULL);
            } else {
                end(t, news instanceof TryNews.Failed ? Outcome.ERROR : Outcome.BROKEN);
            }
        }
    }

    void answerEnded(PeerConnection c, boolean reusable) {
        if (c == null) {
            return;
        }
        Try t = c.carries;
        c.carries = null;
        if (reusable && t == null && c.peer.state == State.READY && c.address.equals(c.peer.address)) {
            core.pool.release(c, core.now);
        } else {
            core.pool.close(c);
        }
        if (t != null) {
            // the answer ended without its last line: the job may have run, and the connection is not trusted
            end(t, Outcome.BROKEN);
        }
    }

    void peerClosed(PeerConnection c) {
        if (c == null) {
            return;
        }
        core.pool.forget(c);
        if (c.stale) {
            // what ended this kept connection has most likely ended the others too
            core.pool.closeIdle(c.peer);
        }
        if (c.carries != null) {
            end(c.carries, c.state == PeerConnection.State.WAITING ? Outcome.BROKEN : Outcome.UNREACHABLE);
        }
    }

    private void end(Try t, Outcome outcome) {
        core.timers.cancel(t.timer);
        t.outcome = outcome;
        core.attendance.tried(outcome);
        core.module.ended(core.now, t.context.id, t.number, t.context.over, outcome, null);
        if (core.health != null) {
            list.judged(core.health.tried(t.peer.id, outcome, core.now));
        }
        requests.forget(t.context);
    }

    void endAfterwards(Try t, Outcome outcome) {
        t.outcome = outcome;
        core.afterwards.add(() -> end(t, outcome));
    }

    /** The last byte of a request was written. */
    void written(PeerConnection c) {
        if (c != null && c.state == PeerConnection.State.SENDING) {
            c.state = PeerConnection.State.WAITING;
        }
    }
}
