package granitefold.wire;

import granitefold.Dispatcher.Effect;
import granitefold.Dispatcher.Group;
import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.State;

/** Translates codes and keywords of messages into the types of {@link granitefold.Dispatcher}. */
public final class WireCodes {

    private WireCodes() { }

    /** Converts a key to a number: up to 16 hex digits are parsed, other texts are hashed; 0 stands for no key. */
    public static long key(String text) {
        if (text == null || text.isEmpty()) {
            return 0;
        }
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            return 0x100000001L * text.hashCode();
        }
    }

    public static Effect effect(String value) {
        return switch (value) {
            case "retryable" -> Effect.SAFE;
            case "dedup" -> Effect.KEYED;
            case "fragile" -> Effect.UNSAFE;
            default -> throw new InvalidInputException("unknown effect " + value);
        };
    }

    public static Group group(String value) {
        return switch (value) {
            case "all" -> Group.ALL;
            case "zone" -> Group.ZONE;
            case "cell" -> Group.CELL;
            default -> throw new InvalidInputException("unknown group " + value);
        };
    }

    public static ListUpdate listUpdate(String value) {
        return switch (value) {
            case "INCREMENTAL" -> ListUpdate.CHANGES;
            case "FULL" -> ListUpdate.WHOLE;
            case "SAVED" -> ListUpdate.SAVED;
            case "FAILED" -> ListUpdate.FAILED;
            default -> throw new InvalidInputException("unknown kind of list update " + value);
        };
    }

    public static State state(String value) {
        return switch (value) {
            case "ready" -> State.READY;
            case "draining" -> State.DRAINING;
            case "gone" -> State.GONE;
            default -> throw new InvalidInputException("unknown lifecycle " + value);
        };
    }

    public static Outcome outcome(long code) {
        return switch ((int) code) {
            case 200 -> Outcome.SERVED;
            case 500 -> Outcome.ERROR;
            case 503 -> Outcome.FULL;
            case 504 -> Outcome.TIMED_OUT;
            case 502 -> Outcome.UNREACHABLE;
            case 598 -> Outcome.BROKEN;
            case 499 -> Outcome.CANCELLED;
            case 410 -> Outcome.MOOT;
            default -> throw new InvalidInputException("unknown outcome code " + code);
        };
    }
}
