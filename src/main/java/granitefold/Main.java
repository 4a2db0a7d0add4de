package granitefold;

import granitefold.benchlink.SimulatorAdapter;
import granitefold.cli.Commands;
import granitefold.cli.Serve;

/**
 * Entry point. The platform's two commands, without flags, are taken here at once: what reads all the others costs a
 * start at half a core more than it may (docs/design/balancer-checks.md).
 */
public final class Main {
    private Main() { }

    /** Starts what the arguments name; wrong usage and broken configuration end it with a line each. */
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
