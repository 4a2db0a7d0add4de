package granitefold.state;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A folder in memory that does what disks do: what was not forced may be lost, torn or kept at a power loss, renames that
 * were not forced in any order, and each call may fail.
 */
final class FaultyStorage implements Storage {
    /** The power has gone: nothing after it happens. */
    static final class PowerLoss extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    private static final class Inode {
        byte[] bytes;
        byte[] durable = {};

        Inode(byte[] bytes) {
            this.bytes = bytes;
        }
    }

    private interface Change {
        void on(Map<String, Inode> names);
    }

    private final SplittableRandom random;
    private Map<String, Inode> names = new HashMap<>();
    private Map<String, Inode> durable = new HashMap<>();
    private final List<Change> unforced = new ArrayList<>();
    /** Steps until the power goes, -1: it stays. */
    int powerFor = -1;
    /** Steps until a call fails, -1: none does. */
    int failAt = -1;
    int steps;

    FaultyStorage(long seed) {
        random = new SplittableRandom(seed);
    }

    private void step() throws IOException {
        steps++;
        if (powerFor >= 0 && powerFor-- == 0) {
            throw new PowerLoss();
        }
        if (failAt >= 0 && failAt-- == 0) {
            throw new IOException("No space left on device");
        }
    }

    private void change(Change c) {
        c.on(names);
        unforced.add(c);
    }

    @Override
    public byte[] read(String name, int most) {
        Inode i = names.get(name);
        return i == null ? null : i.bytes.clone();
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        Inode i = new Inode(Arrays.copyOf(bytes, random.nextInt(bytes.length + 1)));
        change(n -> n.put(name, i));
        // a failure leaves a part of it
        step();
        i.bytes = bytes.clone();
    }

    @Override
    public void force(String name) throws IOException {
        step();
        Inode i = names.get(name);
        if (i == null) {
            throw new IOException("missing");
        }
        i.durable = i.bytes;
    }

    @Override
    public void rename(String from, String to) throws IOException {
        step();
        if (!names.containsKey(from)) {
            throw new IOException("missing");
        }
        Inode i = names.get(from);
        change(n -> {
            if (n.get(from) == i) {
                n.remove(from);
            }
            n.put(to, i);
        });
    }

    @Override
    public void forceDirectory() throws IOException {
        step();
        durable = new HashMap<>(names);
        unforced.clear();
    }

    /** What is there after the power has come back. */
    void powerBack() {
        Map<String, Inode> left = new HashMap<>(durable);
        // journals write names in order or not: any of the changes may have made it
        for (Change c : unforced) {
            if (random.nextBoolean()) {
                c.on(left);
            }
        }
        unforced.clear();
        Map<String, Inode> after = new HashMap<>();
        left.forEach((name, i) -> {
            boolean all = i.durable.length == i.bytes.length && Arrays.equals(i.durable, i.bytes);
            byte[] bytes = all ? i.bytes : switch (random.nextInt(3)) {
                case 0 -> i.durable;
                case 1 -> i.bytes;
                default -> {
                    // as long as it was to be, with what was never written in it
                    byte[] torn = Arrays.copyOf(i.bytes, i.bytes.length);
                    Arrays.fill(torn, random.nextInt(torn.length + 1), torn.length, (byte) 0);
                    yield torn;
                }
            };
            Inode n = new Inode(bytes);
            n.durable = bytes;
            after.put(name, n);
        });
        names = after;
        durable = new HashMap<>(after);
        powerFor = -1;
        failAt = -1;
    }

    void put(String name, byte[] bytes) {
        Inode i = new Inode(bytes);
        i.durable = bytes;
        names.put(name, i);
        durable.put(name, i);
    }
}
