package granitefold.cli.rollout;

import granitefold.operator.InvalidFileException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command {@code keep}: runs the supervisor of one dispatcher. */
@Command(name = "keep", mixinStandardHelpOptions = true,
        description = "Supervise one dispatcher: keep it serving, in the version that rollouts order. Runs until terminated.")
public final class KeepCommand implements Callable<Integer> {
    private static final int BAD_CONFIGURATION = 2;

    @Parameters(paramLabel = "FILE", description = "The keeper's settings.")
    private Path file;
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        try {
            new SupervisorServer(SupervisorFile.read(file)).run();
        } catch (InvalidFileException e) {
            e.problems().forEach(spec.commandLine().getErr()::println);
            return BAD_CONFIGURATION;
        } catch (ChecksummedFile.DamagedFileException e) {
            spec.commandLine().getErr().println("granitefold: " + e.getMessage()
                    + "; the version it ran is unknown. Remove the file to start with the version in " + file);
            return BAD_CONFIGURATION;
        }
        return 0;
    }
}
