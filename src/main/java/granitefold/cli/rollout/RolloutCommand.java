package granitefold.cli.rollout;

import com.fasterxml.jackson.databind.node.ObjectNode;
import granitefold.operator.InvalidFileException;
import granitefold.rollout.Progress;
import granitefold.rollout.Progress.State;
import granitefold.state.DirectoryStorage;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;

/** A rolling change of program or settings. Exit status: 0 done, 1 stopped or gone back, 2 for a broken plan. */
@Command(name = "rollout", mixinStandardHelpOptions = true, description = "Change program or settings in stages; stop when a stage does worse.",
        subcommands = {RolloutCommand.Show.class, RolloutCommand.Start.class, RolloutCommand.Status.class, RolloutCommand.Pause.class,
            RolloutCommand.Resume.class, RolloutCommand.Pass.class, RolloutCommand.Stop.class, RolloutCommand.Back.class})
public final class RolloutCommand implements Callable<Integer> {
    private static final int NOT_DONE = 1, BROKEN = 2, USAGE = 64;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return USAGE;
    }

    /** Whatever is about one plan. */
    abstract static class OfPlan implements Callable<Integer> {
        @Parameters(paramLabel = "PLAN", description = "The plan's file.")
        private Path plan;
        @ParentCommand
        private RolloutCommand parent;
        @Spec
        private CommandSpec spec;

        abstract Integer run(PlanFile.Read read) throws IOException, InterruptedException;

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        PrintWriter err() {
            return spec.commandLine().getErr();
        }

        @Override
        public Integer call() throws Exception {
            try {
                return run(PlanFile.read(plan));
            } catch (InvalidFileException e) {
                e.problems().forEach(err()::println);
                return BROKEN;
            }
        }

        static Progress progress(PlanFile f) throws IOException {
            return Files.exists(f.folder()) ? new ChecksummedFile<>(DirectoryStorage.readOnly(f.folder()), Controller.PROGRESS, Progress.class).read() : null;
        }
    }

    @Command(name = "plan", mixinStandardHelpOptions = true, description = "Check a plan and print what it comes to.")
    static final class Show extends OfPlan {
        @Override
        Integer run(PlanFile.Read read) {
            read.effective().forEach((key, value) -> out().println(key + " = " + value));
            out().println("stages, in dispatchers: " + read.file().plan().stages());
            return 0;
        }
    }

    @Command(name = "start", mixinStandardHelpOptions = true,
            description = "Play a plan to its end, or go on with it where a controller before this one left off.")
    static final class Start extends OfPlan {
        @Override
        Integer run(PlanFile.Read read) throws IOException, InterruptedException {
            try (Controller c = new Controller(read.file())) {
                Progress end = c.run();
                out().println(end.state() + (end.verdict().isEmpty() ? "" : ": " + end.verdict()));
                return end.state() == State.DONE ? 0 : NOT_DONE;
            }
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = "How a rollout stands, by what its controller kept.")
    static final class Status extends OfPlan {
        @Option(names = "--json", description = "As a JSON object.")
        private boolean json;

        @Override
        Integer run(PlanFile.Read read) throws IOException {
            Progress p;
            try {
                p = progress(read.file());
            } catch (ChecksummedFile.DamagedFileException e) {
                err().println("granitefold: " + e.getMessage());
                return NOT_DONE;
            }
            ObjectNode o = ChecksummedFile.JSON.createObjectNode();
            o.put("plan", read.file().plan().name());
            o.put("state", p == null ? State.PLANNED.name() : p.state().name());
            o.put("stage", p == null ? 0 : p.stage() + 1).put("stages", read.file().plan().stages().size());
            o.put("verdict", p == null ? "" : p.verdict()).put("paused", p != null && p.paused());
            o.put("order", p == null ? "" : p.order().toString());
            o.set("new", ChecksummedFile.JSON.valueToTree(p == null ? java.util.List.of() : p.fresh()));
            if (json) {
                out().println(o);
            } else {
                Path report = read.file().folder().resolve(Controller.REPORT);
                out().print(Files.exists(report) ? Files.readString(report) : read.file().plan().name() + ": not begun\n");
            }
            return 0;
        }
    }

    /** A word for whoever plays the plan, now or later. */
    abstract static class Word extends OfPlan {
        @Override
        Integer run(PlanFile.Read read) throws IOException {
            Path folder = read.file().folder();
            if (progressOrDamaged(read.file())) {
                err().println("granitefold: " + read.file().plan().name() + " has not begun");
                return NOT_DONE;
            }
            Path next = folder.resolve(Controller.WISH + ".new");
            Files.writeString(next, getClass().getAnnotation(Command.class).name() + "\n");
            Files.move(next, folder.resolve(Controller.WISH), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            out().println("left for the controller; where none runs, `rollout start` takes it up");
            return 0;
        }

        private static boolean progressOrDamaged(PlanFile f) throws IOException {
            try {
                return progress(f) == null;
            } catch (ChecksummedFile.DamagedFileException e) {
                // that it cannot be read is the very reason to have a word
                return false;
            }
        }
    }

    @Command(name = "pause", mixinStandardHelpOptions = true, description = "Give no further orders and judge nothing, until resumed.")
    static final class Pause extends Word { }

    @Command(name = "resume", mixinStandardHelpOptions = true, description = "Go on after a pause; look again, or try again, where it holds.")
    static final class Resume extends Word { }

    @Command(name = "pass", mixinStandardHelpOptions = true, description = "Go on to the next stage though new and old were not told apart.")
    static final class Pass extends Word { }

    @Command(name = "stop", mixinStandardHelpOptions = true, description = "Stay as it is, for good.")
    static final class Stop extends Word { }

    @Command(name = "back", mixinStandardHelpOptions = true, description = "All back to the old version.")
    static final class Back extends Word { }
}
