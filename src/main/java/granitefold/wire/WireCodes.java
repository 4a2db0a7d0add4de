package granitefold.wire;

import granitefold.Dispatcher.Effect;
import granitefold.Dispatcher.Group;
import granitefold.Dispatcher.ListUpdate;
import granitefold.Dispatcher.Outcome;
import granitefold.Dispatcher.State;

/** The wire's words for the interface's terms. */
public final class WireCodes {

    private WireCodes() { }

    /** A key as a number, 0 for none: 16 hex digits as they are, anything else by its hash. */
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

    public static Effect effect(String word) {
        return switch (word) {
            case "retryable" -> Effect.SAFE;
            case "dedup" -> Effect.KEYED;
            case "fragile" -> Effect.UNSAFE;
            default -> throw new InvalidInputException("unknown effect " + word);
        };
    }

    public static Group group(String word) {
        return switch (word) {
            case "all" -> Group.ALL;
            case "zone" -> Group.ZONE;
            case "cell" -> Group.CELL;
            default -> throw new InvalidInputException("unknown group " + word);
        };
    }

    public static ListUpdate news(String word) {
        return switch (word) {
            case "INCREMENTAL" -> ListUpdate.CHANGES;
            case "FULL" -> ListUpdate.WHOLE;
            case "SAVED" -> ListUpdate.SAVED;
            case "FAILED" -> ListUpdate.FAILED;
            default -> throw new InvalidInputException("unknown list news " + word);
        };
    }

    public static State state(String word) {
        return switch (word) {
            case "ready" -> State.READY;
            case "draining" -> State.DRAINING;
            case "gone" -> State.GONE;
            default -> throw new InvalidInputException("unknown lifecycle " + word);
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
