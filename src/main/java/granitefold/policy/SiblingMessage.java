package granitefold.policy;

import java.util.Arrays;

/**
 * The bytes that dispatchers send each other: one of magic and version, entries of varints, a check byte. An even
 * number begins a bucket's entry (twice the tenant, then owner, count, credit), a 1 begins a worker's (id, the
 * sender's queued work there, slots held). Another odd number begins an entry of a later version, of four numbers as well:
 * it is skipped, so that neighbours of two versions go on hearing the rest. What is in a message is chosen and used by
 * {@link DispatchPolicy}.
 */
final class SiblingMessage {
    static final byte[] MAGIC = {(byte) 0xE2};
    /** Longest message, less the two bytes that tell its settings, and the room that one more entry and the check byte may need. */
    static final int MOST = 254, ENTRY_MOST = 26;
    /** Work is told in this many microseconds. */
    static final double WORK_UNIT = 20_000;
    /** Work and slots past these are nonsense. */
    private static final long WORK_MOST = 1L << 32, HELD_MOST = 1000;

    private SiblingMessage() { }

    /**
     * The entries of a message, four numbers each, or null if anything at all about it is wrong: a bucket's
     * tenant, owner, count and credit, or -1, a worker, and the sender's work and held slots there.
     */
    static long[] read(byte[] m, int tenants, int owners) {
        if (m == null || m.length <= MAGIC.length + 1 || m.length > MOST
                || !Arrays.equals(m, 0, MAGIC.length, MAGIC, 0, MAGIC.length)
                || sum(m, m.length - 1) != m[m.length - 1]) {
            return null;
        }
        long[] found = new long[m.length * 2];
        int n = 0;
        int[] at = {MAGIC.length};
        while (at[0] < m.length - 1) {
            long tag = take(m, at);
            boolean load = tag == 1;
            if (tag > 1 && tag % 2 != 0) {
                if (Math.min(take(m, at), Math.min(take(m, at), take(m, at))) < 0) {
                    return null;
                }
                continue;
            }
            found[n] = load ? -1 : tag / 2;
            found[n + 1] = take(m, at);
            found[n + 2] = take(m, at);
            found[n + 3] = take(m, at);
            if (tag < 0 || found[n + 1] < 0 || found[n + 2] < 0 || found[n + 3] < 0
                    || (load ? found[n + 2] > WORK_MOST || found[n + 3] > HELD_MOST
                    : found[n] >= tenants || found[n + 1] >= owners)) {
                return null;
            }
            n += 4;
        }
        return Arrays.copyOf(found, n);
    }

    /** The number at a place in a message, which moves on behind it; -1 if there is none below 2^42. */
    private static long take(byte[] m, int[] at) {
        long v = 0;
        for (int shift = 0; shift < 42 && at[0] < m.length - 1; shift += 7) {
            byte x = m[at[0]++];
            v |= (long) (x & 127) << shift;
            if (x >= 0) {
                return v;
            }
        }
        return -1;
    }

    /** A message without entries, with room for the longest. */
    static byte[] begin() {
        return Arrays.copyOf(MAGIC, MOST);
    }

    /** The finished message of what was put up to a place. */
    static byte[] end(byte[] m, int at) {
        m[at] = sum(m, at);
        return Arrays.copyOf(m, at + 1);
    }

    static byte sum(byte[] m, int length) {
        int sum = 0;
        for (int i = 0; i < length; i++) {
            sum = sum * 31 + m[i];
        }
        return (byte) (sum ^ sum >> 8);
    }

    /** Puts a bucket's entry: an owner's count, and the credit in whole tokens. */
    static int putUse(byte[] m, int at, int tenant, int owner, long used, double credited) {
        return put(m, put(m, put(m, put(m, at, 2L * tenant), owner), used), (long) credited);
    }

    /** Puts a worker's entry: the sender's work there in coarse units, and the slots it holds. */
    static int putWork(byte[] m, int at, long worker, double work, int held) {
        return put(m, put(m, put(m, put(m, at, 1), worker), Math.round(work / WORK_UNIT)), held);
    }

    static int put(byte[] m, int at, long v) {
        while (v > 127) {
            m[at++] = (byte) (v & 127 | 128);
            v >>>= 7;
        }
        m[at++] = (byte) v;
        return at;
    }
}
