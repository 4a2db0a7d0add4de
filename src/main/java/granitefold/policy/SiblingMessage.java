package granitefold.policy;

import java.util.Arrays;

/**
 * The binary format of gossip messages: a byte of magic and version, entries of four varints each, and a
 * check byte. An even first number marks a bucket's entry (twice the tenant, then owner, count, credit), a 1
 * marks a worker's (its id, the sender's queued work there, slots held). Other odd numbers mark entries of
 * later versions: they are skipped, so that siblings of two versions still read each other's other entries.
 * {@link Gossip} chooses and applies the contents.
 */
final class SiblingMessage {
    static final byte[] MAGIC = {(byte) 0xE2};
    /**
     * Longest message, without the two bytes that identify its settings, and the room that one more entry and
     * the check byte may take.
     */
    static final int MAX_BYTES = 254, MAX_ENTRY_BYTES = 26;
    /** Unit in which work is sent. */
    static final double WORK_UNIT_US = 20_000;
    /** Larger values for work and slots are invalid. */
    private static final long MAX_WORK_UNITS = 1L << 32, MAX_HELD_SLOTS = 1000;

    private SiblingMessage() { }

    /**
     * Returns the entries of a message, four numbers each, or null if any of it is invalid. An entry is a
     * bucket's tenant, owner, count and credit, or -1, a worker, and the sender's work and held slots there.
     */
    static long[] read(byte[] message, int tenants, int owners) {
        if (message == null || message.length <= MAGIC.length + 1 || message.length > MAX_BYTES
                || !Arrays.equals(message, 0, MAGIC.length, MAGIC, 0, MAGIC.length)
                || checksum(message, message.length - 1) != message[message.length - 1]) {
            return null;
        }
        long[] entries = new long[message.length * 2];
        int n = 0;
        int[] position = {MAGIC.length};
        while (position[0] < message.length - 1) {
            long tag = readVarint(message, position);
            boolean load = tag == 1;
            if (tag > 1 && tag % 2 != 0) {
                if (Math.min(readVarint(message, position),
                        Math.min(readVarint(message, position), readVarint(message, position))) < 0) {
                    return null;
                }
                continue;
            }
            entries[n] = load ? -1 : tag / 2;
            entries[n + 1] = readVarint(message, position);
            entries[n + 2] = readVarint(message, position);
            entries[n + 3] = readVarint(message, position);
            if (tag < 0 || entries[n + 1] < 0 || entries[n + 2] < 0 || entries[n + 3] < 0
                    || (load ? entries[n + 2] > MAX_WORK_UNITS || entries[n + 3] > MAX_HELD_SLOTS
                    : entries[n] >= tenants || entries[n + 1] >= owners)) {
                return null;
            }
            n += 4;
        }
        return Arrays.copyOf(entries, n);
    }

    /** Returns the number at a position, which advances past it; -1 if there is none below 2^42. */
    private static long readVarint(byte[] message, int[] position) {
        long value = 0;
        for (int shift = 0; shift < 42 && position[0] < message.length - 1; shift += 7) {
            byte next = message[position[0]++];
            value |= (long) (next & 127) << shift;
            if (next >= 0) {
                return value;
            }
        }
        return -1;
    }

    /** Returns the buffer of a message without entries, with room for the longest message. */
    static byte[] begin() {
        return Arrays.copyOf(MAGIC, MAX_BYTES);
    }

    /** Returns the finished message made of the first {@code length} bytes. */
    static byte[] end(byte[] message, int length) {
        message[length] = checksum(message, length);
        return Arrays.copyOf(message, length + 1);
    }

    static byte checksum(byte[] message, int length) {
        int sum = 0;
        for (int i = 0; i < length; i++) {
            sum = sum * 31 + message[i];
        }
        return (byte) (sum ^ sum >> 8);
    }

    /**
     * Writes a bucket's entry, an owner's count and the credit in whole tokens, and returns the position
     * behind it.
     */
    static int putBucketUse(byte[] message, int position, int tenant, int owner, long used, double credited) {
        return putVarint(message, putVarint(message, putVarint(message,
                putVarint(message, position, 2L * tenant), owner), used), (long) credited);
    }

    /**
     * Writes a worker's entry, the sender's work there and the slots it holds, and returns the position
     * behind it.
     */
    static int putWorkerLoad(byte[] message, int position, long worker, double workUs, int heldSlots) {
        return putVarint(message, putVarint(message, putVarint(message,
                putVarint(message, position, 1), worker), Math.round(workUs / WORK_UNIT_US)), heldSlots);
    }

    static int putVarint(byte[] message, int position, long value) {
        while (value > 127) {
            message[position++] = (byte) (value & 127 | 128);
            value >>>= 7;
        }
        message[position++] = (byte) value;
        return position;
    }
}
