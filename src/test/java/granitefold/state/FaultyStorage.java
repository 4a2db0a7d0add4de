package granitefold.state;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A directory in memory that fails as disks do. At a power loss, content that was not forced may be lost, torn or kept, and
 * renames that were not forced may each be lost or kept, in any combination. Each call may fail.
 */
final class FaultyStorage implements Storage {
    /** The power fails; nothing is executed after it. */
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

    private interface NameChange {
        void applyTo(Map<String, Inode> names);
    }

    private final SplittableRandom random;
    private Map<String, Inode> files = new HashMap<>();
    private Map<String, Inode> durableFiles = new HashMap<>();
    private final List<NameChange> unforcedChanges = new ArrayList<>();
    /** Steps until the power fails; -1: never. */
    int stepsToPowerLoss = -1;
    /** Steps until a call fails; -1: never. */
    int stepsToFailure = -1;
    int stepCount;

    FaultyStorage(long seed) {
        random = new SplittableRandom(seed);
    }

    private void step() throws IOException {
        stepCount++;
        if (stepsToPowerLoss >= 0 && stepsToPowerLoss-- == 0) {
            throw new PowerLoss();
        }
        if (stepsToFailure >= 0 && stepsToFailure-- == 0) {
            throw new IOException("No space left on device");
        }
    }

    private void change(NameChange c) {
        c.applyTo(files);
        unforcedChanges.add(c);
    }

    @Override
    public byte[] read(String name, int maxBytes) {
        Inode i = files.get(name);
        return i == null ? null : i.bytes.clone();
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        Inode i = new Inode(Arrays.copyOf(bytes, random.nextInt(bytes.length + 1)));
        change(n -> n.put(name, i));
        // A failure leaves a part of the content.
        step();
        i.bytes = bytes.clone();
    }

    @Override
    public void force(String name) throws IOException {
        step();
        Inode i = files.get(name);
        if (i == null) {
            throw new IOException("missing");
        }
        i.durable = i.bytes;
    }

    @Override
    public void rename(String from, String to) throws IOException {
        step();
        if (!files.containsKey(from)) {
            throw new IOException("missing");
        }
        Inode i = files.get(from);
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
        durableFiles = new HashMap<>(files);
        unforcedChanges.clear();
    }

    /** Replaces the directory by what a power loss leaves of it. */
    void restorePower() {
        Map<String, Inode> remaining = new HashMap<>(durableFiles);
        // File systems need not write renames in order, so any of the changes may have become durable.
        for (NameChange c : unforcedChanges) {
            if (random.nextBoolean()) {
                c.applyTo(remaining);
            }
        }
        unforcedChanges.clear();
        Map<String, Inode> restored = new HashMap<>();
        remaining.forEach((name, i) -> {
            boolean forced = i.durable.length == i.bytes.length && Arrays.equals(i.durable, i.bytes);
            byte[] bytes = forced ? i.bytes : switch (random.nextInt(3)) {
                case 0 -> i.durable;
                case 1 -> i.bytes;
                default -> {
                    // The file has its full length, but its end was never written.
                    byte[] torn = Arrays.copyOf(i.bytes, i.bytes.length);
                    Arrays.fill(torn, random.nextInt(torn.length + 1), torn.length, (byte) 0);
                    yield torn;
                }
            };
            Inode inode = new Inode(bytes);
            inode.durable = bytes;
            restored.put(name, inode);
        });
        files = restored;
        durableFiles = new HashMap<>(restored);
        stepsToPowerLoss = -1;
        stepsToFailure = -1;
    }

    void put(String name, byte[] bytes) {
        Inode i = new Inode(bytes);
        i.durable = bytes;
        files.put(name, i);
        durableFiles.put(name, i);
    }
}
