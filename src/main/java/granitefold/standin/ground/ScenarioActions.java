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

/** Performs the scenario actions that apply to dispatcher processes, workers and folders of stored state. */
final class ScenarioActions {
    private static final Set<String> WORKER_ACTIONS = Set.of("slow", "hang", "stick", "fail", "truncate", "break", "well", "drain", "remove",
            "replace", "die");
    private static final long MS_PER_HOUR = 3_600_000;

    private final TestBed testBed;

    ScenarioActions(TestBed testBed) {
        this.testBed = testBed;
    }

    /** Returns whether an action applies to workers. */
    static boolean appliesToWorkers(String action) {
        return WORKER_ACTIONS.contains(action);
    }

    void worker(String action, Worker worker, double amount) throws IOException {
        switch (action) {
            case "slow" -> worker.slowdown(amount);
            case "hang" -> worker.behavior(Behavior.HANGING);
            case "stick" -> worker.behavior(Behavior.STALLED);
            case "fail" -> worker.behavior(Behavior.FAILING);
            case "truncate" -> worker.behavior(Behavior.TRUNCATING);
            case "break" -> worker.behavior(Behavior.RESETTING);
            case "drain" -> testBed.registry.updateStatus(worker, "draining");
            case "remove" -> testBed.registry.remove(worker);
            case "die" -> {
                worker.kill();
                testBed.registry.remove(worker);
            }
            case "replace" -> {
                worker.kill();
                testBed.registry.remove(worker);
                testBed.addWorker(true);
            }
            default -> {
                worker.behavior(Behavior.NORMAL);
                worker.slowdown(1);
                testBed.registry.updateStatus(worker, "up");
            }
        }
    }

    /** Performs an action on several dispatchers, as close to simultaneously as one machine allows. */
    void dispatchers(String action, List<DispatcherUnderTest> targets, double amount) throws IOException, InterruptedException {
        long now = testBed.history.now();
        switch (action) {
            case "kill" -> {
                // kills all at once; a keeper starts its dispatcher again
                targets.parallelStream().forEach(DispatcherUnderTest::kill);
                targets.forEach(dispatcher -> testBed.loadBalancer.removeAt(dispatcher, now + testBed.scenario.dispatchers().failureDetectionUs()));
                targets.stream().filter(DispatcherUnderTest::hasKeeper).forEach(testBed::addToBalancerWhenReady);
            }
            case "start" -> {
                for (DispatcherUnderTest dispatcher : targets) {
                    if (dispatcher.current() != null && !dispatcher.alive() || dispatcher.awaitExit(DispatcherUnderTest.TIMEOUT_S)) {
                        testBed.restart(dispatcher);
                    }
                }
            }
            case "end", "restart" -> {
                targets.forEach(dispatcher -> {
                    dispatcher.terminate();
                    testBed.loadBalancer.removeAt(dispatcher, now + LoadBalancer.TERMINATED_TRAFFIC_US);
                });
                if (action.equals("restart")) {
                    for (DispatcherUnderTest dispatcher : targets) {
                        dispatcher.awaitExit(DispatcherUnderTest.TIMEOUT_S);
                        testBed.restart(dispatcher);
                    }
                }
            }
            case "kill-keeper" -> {
                for (DispatcherUnderTest dispatcher : targets) {
                    dispatcher.killKeeper();
                }
            }
            case "stop", "continue" -> {
                for (DispatcherUnderTest dispatcher : targets) {
                    dispatcher.sendSignal(action.equals("stop") ? "STOP" : "CONT");
                }
            }
            case "reload" -> {
                for (DispatcherUnderTest dispatcher : targets) {
                    dispatcher.writeConfig();
                    dispatcher.sendSignal("HUP");
                }
            }
            default -> stateFiles(action, targets, amount);
        }
    }

    // ---------------------------------------------------------------- stored state of dispatchers that are down
    private void stateFiles(String action, List<DispatcherUnderTest> targets, double amount) throws IOException {
        List<Path> files = new ArrayList<>();
        for (DispatcherUnderTest dispatcher : targets) {
            files.addAll(files(dispatcher.stateFolder()));
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
                for (int i = 0; i + 1 < targets.size(); i += 2) {
                    Path a = targets.get(i).stateFolder();
                    Path b = targets.get(i + 1).stateFolder();
                    Path between = a.resolveSibling("between");
                    Files.move(a, between);
                    Files.move(b, a);
                    Files.move(between, b);
                }
            }
            case "state-kept" -> {
                for (DispatcherUnderTest dispatcher : targets) {
                    copy(dispatcher.stateFolder(), dispatcher.stateFolder().resolveSibling("kept"));
                }
            }
            case "state-back" -> {
                for (DispatcherUnderTest dispatcher : targets) {
                    copy(dispatcher.stateFolder().resolveSibling("kept"), dispatcher.stateFolder());
                }
            }
            default -> throw new IllegalArgumentException("unknown action " + action);
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
