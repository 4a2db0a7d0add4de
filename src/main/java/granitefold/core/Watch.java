package granitefold.core;

import granitefold.logging.LogEvent;
import java.util.List;

/** The watch on discovery: open or waiting to be opened again. The last list stands meanwhile. */
final class Watch {
    /** Heartbeats come every 2 s; after this much silence the watch is dead. */
    private static final long SILENT_US = 3_000_000;
    /** The first and the longest pause before a watch is opened again. */
    private static final long PAUSE_FIRST_US = 50_000, PAUSE_MOST_US = 1_000_000;

    private final Timers timers;
    private final List<Effect> effects;
    private String address;
    private long version;
    private long heardAt;
    private long pause = PAUSE_FIRST_US;
    /** Counts the watches opened and ended, so that a timer for an earlier one is known. */
    private int opened;

    Watch(String address, long version, Timers timers, List<Effect> effects) {
        this.address = address;
        this.version = version;
        this.timers = timers;
        this.effects = effects;
    }

    long version() {
        return version;
    }

    void open(long now) {
        opened++;
        heardAt = now;
        effects.add(new Effect.OpenWatch(address, version));
        checkLater(opened);
    }

    void heard(PeerList list, long now) {
        heardAt = now;
        pause = PAUSE_FIRST_US;
        if (list != null) {
            version = list.version();
        }
    }

    /** Leaves the watch on the old address, which may be about to end, for one on the new, at once. */
    void move(String to, long now) {
        if (!to.equals(address)) {
            address = to;
            pause = PAUSE_FIRST_US;
            effects.add(new Effect.CloseWatch());
            open(now);
        }
    }

    void ended(String why, long now) {
        int which = ++opened;
        effects.add(new Effect.Log(LogEvent.DISCOVERY_ENDED, why));
        timers.at(now + pause, t -> {
            // else it has moved meanwhile, and is open
            if (which == opened) {
                open(t);
            }
        });
        pause = Math.min(PAUSE_MOST_US, pause * 2);
    }

    private void checkLater(int which) {
        timers.at(heardAt + SILENT_US, t -> {
            if (which == opened) {
                if (t - heardAt < SILENT_US) {
                    checkLater(which);
                } else {
                    // a cut link says nothing: only the missing heartbeats show it
                    effects.add(new Effect.CloseWatch());
                    ended("silent", t);
                }
            }
        });
    }

}
