package granitefold.standin.ground;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The plain layer that deals out connections among the dispatchers. It takes one in when that says that it serves, and notices
 * only some time later that one has died. Pure but for its turn.
 */
final class Front {
    /** How long after SIGTERM new connections still come, as the platform has it. */
    static final long TOLD_US = 300_000;

    private static final class Place {
        final Member member;
        boolean in;
        long outAtUs = Long.MAX_VALUE;

        Place(Member member) {
            this.member = member;
        }
    }

    private final List<Place> places = new ArrayList<>();
    private int turn;

    Front(List<Member> members) {
        members.forEach(m -> places.add(new Place(m)));
    }

    synchronized void in(Member m) {
        Place p = place(m);
        p.in = true;
        p.outAtUs = Long.MAX_VALUE;
    }

    /** It dies, or was told to end: nothing new goes there from a time on. */
    synchronized void outAt(Member m, long atUs) {
        Place p = place(m);
        p.outAtUs = Math.min(p.outAtUs, atUs);
    }

    synchronized boolean isIn(Member m, long nowUs) {
        Place p = place(m);
        return p.in && nowUs < p.outAtUs;
    }

    private Place place(Member m) {
        return places.stream().filter(p -> p.member == m).findFirst().orElseThrow();
    }

    /** Whom the next connection goes to, or null. */
    synchronized Member next(long nowUs) {
        for (int i = 0; i < places.size(); i++) {
            Place p = places.get(turn++ % places.size());
            if (p.in && nowUs >= p.outAtUs) {
                p.in = false;
                p.outAtUs = Long.MAX_VALUE;
            }
            if (p.in) {
                return p.member;
            }
        }
        return null;
    }

    static InetSocketAddress address(Member m) {
        return m.front;
    }
}
