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
 * The sub-commands. Exit status: 0 for success, 1 for failure (not drained in time, no dispatcher reachable), 2 for an invalid
 * configuration, 64 for wrong usage (sysexits.h, EX_USAGE).
 */
@Command(name = "granitefold", mixinStandardHelpOptions = true, versionProvider = Commands.Version.class,
        description = "A dispatcher for jobs.", exitCodeOnInvalidInput = Commands.USAGE,
        subcommands = {Commands.ServeCommand.class, Commands.BenchLinkCommand.class, Commands.Check.class,
            Commands.Drain.class, StateCommand.class, Commands.Ready.class, Commands.Maint.class, Commands.Status.class,
            RolloutCommand.class, KeepCommand.class,
            AutoComplete.GenerateCompletion.class, CommandLine.HelpCommand.class})
public final class Commands implements Callable<Integer> {
    static final int USAGE = 64, FAILURE = 1;

    @Spec
    private CommandSpec spec;

    private Commands() { }

    /** Runs the command that the arguments name. Returns the exit status, or -1 if the process keeps serving. */
    public static int run(String... args) {
        CommandLine line = new CommandLine(new Commands());
        line.setCaseInsensitiveEnumValuesAllowed(true);
        // sub-commands do not inherit the exit code for invalid input
        setUsageExitCode(line);
        line.setExecutionExceptionHandler((e, command, result) -> {
            command.getErr().println("granitefold: " + e.getMessage());
            return FAILURE;
        });
        return line.execute(args);
    }

    private static void setUsageExitCode(CommandLine line) {
        line.getSubcommands().values().forEach(subcommand -> {
            subcommand.getCommandSpec().exitCodeOnInvalidInput(USAGE);
            setUsageExitCode(subcommand);
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
        @Option(names = "--operator", paramLabel = "FILE", description = "The operator's file; without it, everything it configures is off.")
        private String operator;

        @Override
        public Integer call() {
            Serve.run(config, operator);
            return -1;
        }
    }

    @Command(name = "benchlink", mixinStandardHelpOptions = true,
            description = "Make dispatch decisions for the simulator, over standard input and output.")
    static final class BenchLinkCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            return SimulatorAdapter.run();
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Check configuration files and print the effective settings.")
    static final class Check implements Callable<Integer> {
        enum Kind { PLATFORM, OPERATOR, PLAN }

        @Option(names = "--as", paramLabel = "KIND",
                description = "${COMPLETION-CANDIDATES}; by default *.json is the platform's, *.plan a rollout plan, any other the operator's.")
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

    /** Base of the commands that are sent to a dispatcher's control socket. */
    abstract static class ControlCommand implements Callable<Integer> {
        private static final long POLL_MS = 50;

        static final class Target {
            @Option(names = "--socket", paramLabel = "PATH", description = "The control socket.")
            private Path socket;
            @Option(names = "--operator", paramLabel = "FILE", description = "The operator's file that names the socket.")
            private Path operator;
        }

        @CommandLine.ArgGroup(multiplicity = "1")
        private Target target;
        @Option(names = "--json", description = "Print the dispatcher's response unchanged, as a JSON object.")
        private boolean json;
        @Option(names = "--wait", description = "Wait until every request has been answered.")
        private boolean wait;
        @Option(names = "--timeout", paramLabel = "TIME", defaultValue = "PT60S",
                description = "Time limit for --wait as an ISO 8601 duration (default: ${DEFAULT-VALUE}); on timeout the status is 1.")
        private Duration timeout;
        @Spec
        private CommandSpec spec;

        abstract String command();

        @Override
        public Integer call() throws Exception {
            ControlClient client;
            try {
                client = new ControlClient(target.socket != null ? target.socket : socketOf(target.operator));
            } catch (InvalidFileException e) {
                e.problems().forEach(spec.commandLine().getErr()::println);
                return Serve.BAD_CONFIGURATION;
            }
            JsonNode answer = client.send(command());
            long until = System.nanoTime() + timeout.toNanos();
            while (wait && !answer.has("error") && answer.path("owed").asInt() > 0) {
                if (System.nanoTime() - until > 0) {
                    print(answer);
                    spec.commandLine().getErr().println("granitefold: " + answer.path("owed").asInt()
                            + " requests have not been answered yet");
                    return FAILURE;
                }
                Thread.sleep(POLL_MS);
                answer = client.send("status");
            }
            if (answer.has("error")) {
                spec.commandLine().getErr().println("granitefold: " + answer.get("error").asText());
                return FAILURE;
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

        private void print(JsonNode response) {
            spec.commandLine().getOut().println(json ? response.toString() : String.format(Locale.ROOT,
                    "%s %s, weight %d%%, maxconn %d: %s; %d owed, %d clients, %d of %d workers down", response.path("name").asText(),
                    response.path("standing").asText(), response.path("weight").asInt(), response.path("maxconn").asInt(),
                    response.path("reason").asText(),
                    response.path("owed").asInt(), response.path("clients").asInt(), response.path("peers").path("down").asInt(),
                    response.path("peers").path("ready").asInt()));
        }
    }

    @Command(name = "drain", mixinStandardHelpOptions = true, description = "Stop taking new traffic and finish the requests in progress.")
    static final class Drain extends ControlCommand {
        @Override
        String command() {
            return verb(RequestedMode.DRAIN);
        }
    }

    @Command(name = "ready", mixinStandardHelpOptions = true, description = "Take traffic again after drain or maint.")
    static final class Ready extends ControlCommand {
        @Override
        String command() {
            return verb(RequestedMode.READY);
        }
    }

    @Command(name = "maint", mixinStandardHelpOptions = true, description = "Like drain, but report maintenance.")
    static final class Maint extends ControlCommand {
        @Override
        String command() {
            return verb(RequestedMode.MAINT);
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = "Print the status of the dispatcher.")
    static final class Status extends ControlCommand {
        @Override
        String command() {
            return "status";
        }
    }

    private static String verb(RequestedMode mode) {
        return mode.name().toLowerCase(Locale.ROOT);
    }
}
