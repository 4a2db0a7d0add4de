package granitefold.cli;

import com.fasterxml.jackson.databind.JsonNode;
import granitefold.availability.RequestedMode;
import granitefold.benchlink.SimulatorAdapter;
import granitefold.cli.rollout.KeepCommand;
import granitefold.cli.rollout.PlanFile;
import granitefold.cli.rollout.RolloutCommand;
import granitefold.operator.InvalidFileException;
import granitefold.operator.OperatorFile;
import granitefold.wire.Config;
import granitefold.wire.InvalidInputException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The sub-commands. Exit status: 0 for success, 1 where the answer is no (not drained in time, no dispatcher there), 2
 * for a broken configuration, 64 for wrong usage (sysexits.h, EX_USAGE).
 */
@Command(name = "granitefold", mixinStandardHelpOptions = true, versionProvider = Commands.Version.class,
        description = "A dispatcher for jobs.", exitCodeOnInvalidInput = Commands.USAGE,
        subcommands = {Commands.ServeCommand.class, Commands.BenchLinkCommand.class, Commands.Check.class,
            Commands.Drain.class, StateCommand.class, Commands.Ready.class, Commands.Maint.class, Commands.Status.class,
            RolloutCommand.class, KeepCommand.class,
            AutoComplete.GenerateCompletion.class, CommandLine.HelpCommand.class})
public final class Commands implements Callable<Integer> {
    static final int USAGE = 64, NO = 1;

    @Spec
    private CommandSpec spec;

    private Commands() { }

    /** Runs what the arguments name and returns the exit status, or -1 where the process goes on serving. */
    public static int run(String... args) {
        CommandLine line = new CommandLine(new Commands());
        line.setCaseInsensitiveEnumValuesAllowed(true);
        // sub-commands do not take this over from their parent
        strict(line);
        line.setExecutionExceptionHandler((e, command, result) -> {
            command.getErr().println("granitefold: " + e.getMessage());
            return NO;
        });
        return line.execute(args);
    }

    private static void strict(CommandLine line) {
        line.getSubcommands().values().forEach(c -> {
            c.getCommandSpec().exitCodeOnInvalidInput(USAGE);
            strict(c);
        });
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return USAGE;
    }

    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Commands.class.getPackage().getImplementationVersion();
            return new String[] {"granitefold " + (version == null ? "(not packaged)" : version)};
        }
    }

    @Command(name = "serve", mixinStandardHelpOptions = true, description = "Run one dispatcher.")
    static final class ServeCommand implements Callable<Integer> {
        @Option(names = "--config", paramLabel = "FILE", description = "The platform's configuration (else $LB_CONFIG).")
        private String config = System.getenv("LB_CONFIG");
        @Option(names = "--operator", paramLabel = "FILE", description = "The operator's file; without it all it holds is off.")
        private String operator;

        @Override
        public Integer call() {
            Serve.run(config, operator);
            return -1;
        }
    }

    @Command(name = "benchlink", mixinStandardHelpOptions = true,
            description = "The decisions on the simulator's wire, over standard input and output.")
    static final class BenchLinkCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            return SimulatorAdapter.run();
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Check configuration files and print the settings that hold.")
    static final class Check implements Callable<Integer> {
        enum Kind { PLATFORM, OPERATOR, PLAN }

        @Option(names = "--as", paramLabel = "KIND",
                description = "${COMPLETION-CANDIDATES}; else *.json is the platform's and *.plan a rollout's.")
        private Kind kind;
        @Parameters(arity = "1..*", paramLabel = "FILE")
        private List<Path> files;
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            int status = 0;
            PrintWriter out = spec.commandLine().getOut();
            for (Path file : files) {
                try {
                    Map<String, String> settings = kind == Kind.PLATFORM || kind == null && file.toString().endsWith(".json")
                            ? Config.read(file).effective() : kind == Kind.PLAN || kind == null && file.toString().endsWith(".plan")
                            ? PlanFile.read(file).effective() : OperatorFile.read(file).effective();
                    out.println("# " + file);
                    settings.forEach((key, value) -> out.println(key + " = " + value));
                } catch (InvalidInputException e) {
                    spec.commandLine().getErr().println(e.getMessage());
                    status = Serve.BAD_CONFIGURATION;
                } catch (InvalidFileException e) {
                    e.problems().forEach(spec.commandLine().getErr()::println);
                    status = Serve.BAD_CONFIGURATION;
                }
            }
            return status;
        }
    }

    /** How a control command finds its dispatcher. */
    abstract static class ControlCommand implements Callable<Integer> {
        private static final long POLL_MS = 50;

        static final class Where {
            @Option(names = "--socket", paramLabel = "PATH", description = "The control socket.")
            private Path socket;
            @Option(names = "--operator", paramLabel = "FILE", description = "The operator's file that names the socket.")
            private Path operator;
        }

        @CommandLine.ArgGroup(multiplicity = "1")
        private Where where;
        @Option(names = "--json", description = "Print the dispatcher's answer as it is: a JSON object.")
        private boolean json;
        @Option(names = "--wait", description = "Wait until nothing is owed to clients any more.")
        private boolean wait;
        @Option(names = "--timeout", paramLabel = "TIME", defaultValue = "PT60S",
                description = "How long to wait, as PT60S (default: ${DEFAULT-VALUE}); then the status is 1.")
        private Duration timeout;
        @Spec
        private CommandSpec spec;

        abstract String command();

        @Override
        public Integer call() throws Exception {
            ControlClient client;
            try {
                client = new ControlClient(where.socket != null ? where.socket : socketOf(where.operator));
            } catch (InvalidFileException e) {
                e.problems().forEach(spec.commandLine().getErr()::println);
                return Serve.BAD_CONFIGURATION;
            }
            JsonNode answer = client.ask(command());
            long until = System.nanoTime() + timeout.toNanos();
            while (wait && !answer.has("error") && answer.path("owed").asInt() > 0) {
                if (System.nanoTime() - until > 0) {
                    print(answer);
                    spec.commandLine().getErr().println("granitefold: " + answer.path("owed").asInt()
                            + " requests are still owed an answer");
                    return NO;
                }
                Thread.sleep(POLL_MS);
                answer = client.ask("status");
            }
            if (answer.has("error")) {
                spec.commandLine().getErr().println("granitefold: " + answer.get("error").asText());
                return NO;
            }
            print(answer);
            return 0;
        }

        private static Path socketOf(Path file) throws InvalidFileException, IOException {
            var control = OperatorFile.read(file).settings().control();
            if (control == null) {
                throw new IOException(file + ": control.socket is not set");
            }
            return control.socket();
        }

        private void print(JsonNode a) {
            spec.commandLine().getOut().println(json ? a.toString() : String.format(Locale.ROOT,
                    "%s %s, weight %d%%, maxconn %d: %s; %d owed, %d clients, %d of %d workers down", a.path("name").asText(),
                    a.path("standing").asText(), a.path("weight").asInt(), a.path("maxconn").asInt(), a.path("reason").asText(),
                    a.path("owed").asInt(), a.path("clients").asInt(), a.path("peers").path("down").asInt(),
                    a.path("peers").path("ready").asInt()));
        }
    }

    @Command(name = "drain", mixinStandardHelpOptions = true, description = "Take no new traffic; finish what is there.")
    static final class Drain extends ControlCommand {
        @Override
        String command() {
            return word(RequestedMode.DRAIN);
        }
    }

    @Command(name = "ready", mixinStandardHelpOptions = true, description = "Take traffic again after a drain or maint.")
    static final class Ready extends ControlCommand {
        @Override
        String command() {
            return word(RequestedMode.READY);
        }
    }

    @Command(name = "maint", mixinStandardHelpOptions = true, description = "Out for maintenance: as drain, said otherwise.")
    static final class Maint extends ControlCommand {
        @Override
        String command() {
            return word(RequestedMode.MAINT);
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = "How the dispatcher stands.")
    static final class Status extends ControlCommand {
        @Override
        String command() {
            return "status";
        }
    }

    private static String word(RequestedMode wish) {
        return wish.name().toLowerCase(Locale.ROOT);
    }
}
