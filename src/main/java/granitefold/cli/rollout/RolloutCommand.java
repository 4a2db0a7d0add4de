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

/** The command {@code rollout}: staged change of program or settings. Exit status: 0 done, 1 stopped or rolled back, 2 for an invalid plan. */
@Command(name = "rollout", mixinStandardHelpOptions = true, description = "Change program or settings in stages; stop when a stage does worse.",
        subcommands = {RolloutCommand.Show.class, RolloutCommand.Start.class, RolloutCommand.Status.class, RolloutCommand.Pause.class,
            RolloutCommand.Resume.class, RolloutCommand.Pass.class, RolloutCommand.Stop.class, RolloutCommand.Back.class})
public final class RolloutCommand implements Callable<Integer> {
    private static final int NOT_DONE = 1, BAD_PLAN = 2, USAGE = 64;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return USAGE;
    }

    /** Base of the sub-commands, each of which takes one plan. */
    abstract static class PlanCommand implements Callable<Integer> {
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
                return BAD_PLAN;
            }
        }

        static Progress progress(PlanFile planFile) throws IOException {
            return Files.exists(planFile.folder())
                    ? new ChecksummedFile<>(DirectoryStorage.readOnly(planFile.folder()), Controller.PROGRESS, Progress.class).read() : null;
        }
    }

    @Command(name = "plan", mixinStandardHelpOptions = true, description = "Check a plan and print its effective settings.")
    static final class Show extends PlanCommand {
        @Override
        Integer run(PlanFile.Read read) {
            read.effective().forEach((key, value) -> out().println(key + " = " + value));
            out().println("stages, in dispatchers: " + read.file().plan().stages());
            return 0;
        }
    }

    @Command(name = "start", mixinStandardHelpOptions = true,
            description = "Run a plan to its end, or continue it where a previous controller stopped.")
    static final class Start extends PlanCommand {
        @Override
        Integer run(PlanFile.Read read) throws IOException, InterruptedException {
            try (Controller c = new Controller(read.file())) {
                Progress end = c.run();
                out().println(end.state() + (end.verdict().isEmpty() ? "" : ": " + end.verdict()));
                return end.state() == State.DONE ? 0 : NOT_DONE;
            }
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = "Print the status of a rollout from its saved progress.")
    static final class Status extends PlanCommand {
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

    /** Base of the sub-commands that leave an operator command for the controller, running or to be started. */
    abstract static class OperatorCommand extends PlanCommand {
        @Override
        Integer run(PlanFile.Read read) throws IOException {
            Path folder = read.file().folder();
            if (progressOrDamaged(read.file())) {
                err().println("granitefold: " + read.file().plan().name() + " has not begun");
                return NOT_DONE;
            }
            Path next = folder.resolve(Controller.COMMAND_FILE + ".new");
            Files.writeString(next, getClass().getAnnotation(Command.class).name() + "\n");
            Files.move(next, folder.resolve(Controller.COMMAND_FILE), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            out().println("left for the controller; if none is running, `rollout start` will take it up");
            return 0;
        }

        private static boolean progressOrDamaged(PlanFile planFile) throws IOException {
            try {
                return progress(planFile) == null;
            } catch (ChecksummedFile.DamagedFileException e) {
                // damaged progress holds the rollout until an operator command arrives
                return false;
            }
        }
    }

    @Command(name = "pause", mixinStandardHelpOptions = true, description = "Send no further orders and evaluate nothing until resumed.")
    static final class Pause extends OperatorCommand { }

    @Command(name = "resume", mixinStandardHelpOptions = true,
            description = "Continue after a pause; if the rollout is held, compare again or retry the failed step.")
    static final class Resume extends OperatorCommand { }

    @Command(name = "pass", mixinStandardHelpOptions = true, description = "Proceed to the next stage although the comparison was inconclusive.")
    static final class Pass extends OperatorCommand { }

    @Command(name = "stop", mixinStandardHelpOptions = true, description = "End the rollout and leave every dispatcher on its present version.")
    static final class Stop extends OperatorCommand { }

    @Command(name = "back", mixinStandardHelpOptions = true, description = "Roll all dispatchers back to the old version.")
    static final class Back extends OperatorCommand { }
}
