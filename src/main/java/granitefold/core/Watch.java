package granitefold.core;

import granitefold.logging.LogEvent;
import java.util.List;

/** The watch on discovery: open or waiting to be opened again. The last list stands meanwhile. */
final class Watch {
    /** Heartbeats come every 2 s; after this much silence the watch is dead. */
    private static final long SILENT_US = 3_000_000;
    /** The first and the longest pause before a watch is opened again. */
    private static final long PAUSE_FIRST_US = 50_000, PAUSE_MOST_US = 1_000_000;

    /**
     * Whatever discovery has to tell counts as told within this time. An agent that for so long has told nothing but
     * lists of an older index does not lag behind: discovery has begun anew, and counts from there.
     */
    private static final long BEHIND_US = 6_000_000;

    private final Timers timers;
    private final List<Effect> effects;
    private String address;
    private long version;
    private long heardAt;
    private long pause = PAUSE_FIRST_US;
    /** Whether the last list was not taken in; since when all were older than ours, or 0. */
    private boolean refused;
    private long behindSince;
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

    /** A word has come, without news where {@code list} is null; tells whether the list is to be taken in. */
    boolean heard(PeerList list, boolean peersKnown, long now) {
        heardAt = now;
        pause = PAUSE_FIRST_US;
        boolean older = list != null && list.version() < version;
        if (behindSince != 0 && now - behindSince >= BEHIND_US && (list == null || older)) {
            // from its first list on
            behindSince = 0;
            version = 0;
            effects.add(new Effect.CloseWatch());
            open(now);
            return false;
        }
        if (list == null) {
            return false;
        }
        if (list.whole() && list.entries().isEmpty() && peersKnown) {
            // nobody runs a fleet of none: what lost its own list, or has not read it yet, says this
            return refuse("empty");
        }
        if (older) {
            // an agent that lags behind, or one moved to: what it says of drains and ends is out of date
            behindSince = behindSince == 0 ? now : behindSince;
            return refuse("older than " + version);
        }
        behindSince = 0;
        refused = false;
        version = list.version();
        return true;
    }

    /** Logs the change of state, not each list. */
    private boolean refuse(String why) {
        if (!refused) {
            refused = true;
            effects.add(new Effect.Log(LogEvent.DISCOVERY_REFUSED, why));
        }
        return false;
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
