package granitefold;

import granitefold.benchlink.SimulatorAdapter;
import granitefold.cli.Commands;
import granitefold.cli.Serve;

/**
 * The entry point. The platform's commands, which take no flags, are handled here: loading the parser of all other commands would
 * make the start on half a core take longer than it may (docs/design/balancer-checks.md).
 */
public final class Main {
    private Main() { }

    /** Runs the command that the arguments name; wrong usage and an invalid configuration end the process with an error message. */
    public static void main(String[] args) throws Exception {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> Serve.run(System.getenv("LB_CONFIG"), null);
            case "benchlink" -> System.exit(SimulatorAdapter.run());
            case "load" -> CdsTrainingRun.run();
            default -> {
                int status = Commands.run(args);
                if (status >= 0) {
                    System.exit(status);
                }
            }
        }
    }
}
