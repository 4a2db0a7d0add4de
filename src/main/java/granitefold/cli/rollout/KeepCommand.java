package granitefold.cli.rollout;

import granitefold.operator.InvalidFileException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** A keeper as a process. */
@Command(name = "keep", mixinStandardHelpOptions = true,
        description = "Keep one dispatcher serving, in the version that rollouts order; goes on until it is ended.")
public final class KeepCommand implements Callable<Integer> {
    private static final int BROKEN = 2;

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
            return BROKEN;
        } catch (ChecksummedFile.DamagedFileException e) {
            spec.commandLine().getErr().println("granitefold: " + e.getMessage() + "; what it ran is not known: remove the file to begin with the version in "
                    + file);
            return BROKEN;
        }
        return 0;
    }
}
