package granitefold.standin.ground;

import granitefold.standin.world.Worker;
import granitefold.standin.world.Worker.Behavior;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** What is done to processes, to cocineros, and to folders of stored state. */
final class Disorder {
    private static final Set<String> OF_WORKERS = Set.of("slow", "hang", "stick", "fail", "truncate", "break", "well", "drain", "remove",
            "replace", "die");
    private static final long MS_PER_HOUR = 3_600_000;

    private final Ground ground;

    Disorder(Ground ground) {
        this.ground = ground;
    }

    /** Whether an action is done to cocineros. */
    static boolean ofWorkers(String action) {
        return OF_WORKERS.contains(action);
    }

    void worker(String action, Worker w, double amount) throws IOException {
        switch (action) {
            case "slow" -> w.slowdown(amount);
            case "hang" -> w.behavior(Behavior.HANGING);
            case "stick" -> w.behavior(Behavior.STALLED);
            case "fail" -> w.behavior(Behavior.FAILING);
            case "truncate" -> w.behavior(Behavior.TRUNCATING);
            case "break" -> w.behavior(Behavior.RESETTING);
            case "drain" -> ground.registry.updateStatus(w, "draining");
            case "remove" -> ground.registry.remove(w);
            case "die" -> {
                w.kill();
                ground.registry.remove(w);
            }
            case "replace" -> {
                w.kill();
                ground.registry.remove(w);
                ground.worker(true);
            }
            default -> {
                w.behavior(Behavior.NORMAL);
                w.slowdown(1);
                ground.registry.updateStatus(w, "up");
            }
        }
    }

    /** All at once, as far as one machine can. */
    void members(String action, List<Member> hit, double amount) throws IOException, InterruptedException {
        long now = ground.history.now();
        switch (action) {
            case "kill" -> {
                // all in one instant, as far as it goes; then those that are kept come back
                hit.parallelStream().forEach(Member::kill);
                hit.forEach(m -> ground.front.outAt(m, now + ground.scenario.dispatchers().noticeUs()));
                hit.stream().filter(Member::kept).forEach(ground::takeInOnceReady);
            }
            case "start" -> {
                for (Member m : hit) {
                    if (m.life() != null && !m.alive() || m.awaitExit(Member.PATIENCE_S)) {
                        ground.restart(m);
                    }
                }
            }
            case "end", "restart" -> {
                hit.forEach(m -> {
                    m.terminate();
                    ground.front.outAt(m, now + Front.TOLD_US);
                });
                if (action.equals("restart")) {
                    for (Member m : hit) {
                        m.awaitExit(Member.PATIENCE_S);
                        ground.restart(m);
                    }
                }
            }
            case "kill-keeper" -> {
                for (Member m : hit) {
                    m.killKeeper();
                }
            }
            case "stop", "continue" -> {
                for (Member m : hit) {
                    m.signal(action.equals("stop") ? "STOP" : "CONT");
                }
            }
            case "reload" -> {
                for (Member m : hit) {
                    m.writeConfig();
                    m.signal("HUP");
                }
            }
            default -> stored(action, hit, amount);
        }
    }

    // ---------------------------------------------------------------- stored state, while nobody writes it
    private void stored(String action, List<Member> hit, double amount) throws IOException {
        List<Path> files = new ArrayList<>();
        for (Member m : hit) {
            files.addAll(files(m.stateFolder()));
        }
        switch (action) {
            case "state-lost" -> {
                for (Path f : files) {
                    Files.delete(f);
                }
            }
            case "state-cut" -> {
                for (Path f : files) {
                    try (FileChannel c = FileChannel.open(f, StandardOpenOption.WRITE)) {
                        c.truncate(c.size() / 2);
                    }
                }
            }
            case "state-aged" -> {
                long by = (long) (amount > 0 ? amount : MS_PER_HOUR);
                for (Path f : files) {
                    Files.setLastModifiedTime(f, FileTime.fromMillis(Files.getLastModifiedTime(f).toMillis() - by));
                }
            }
            case "state-swapped" -> {
                for (int i = 0; i + 1 < hit.size(); i += 2) {
                    Path a = hit.get(i).stateFolder();
                    Path b = hit.get(i + 1).stateFolder();
                    Path between = a.resolveSibling("between");
                    Files.move(a, between);
                    Files.move(b, a);
                    Files.move(between, b);
                }
            }
            case "state-kept" -> {
                for (Member m : hit) {
                    copy(m.stateFolder(), m.stateFolder().resolveSibling("kept"));
                }
            }
            case "state-back" -> {
                for (Member m : hit) {
                    copy(m.stateFolder().resolveSibling("kept"), m.stateFolder());
                }
            }
            default -> throw new IllegalArgumentException("no action " + action);
        }
    }

    private static List<Path> files(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            return all.filter(Files::isRegularFile).sorted(Comparator.naturalOrder()).toList();
        }
    }

    private static void copy(Path from, Path to) throws IOException {
        Files.createDirectories(to);
        for (Path f : files(from)) {
            Files.copy(f, to.resolve(from.relativize(f)), StandardCopyOption.REPLACE_EXISTING);
        }
    }

}
