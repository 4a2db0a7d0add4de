package granitefold.benchlink;

import granitefold.wire.InvalidInputException;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** Runs dispatchers for a simulator, which sends events on standard input and reads actions from standard output. */
public final class SimulatorAdapter {

    private SimulatorAdapter() { }

    /** Runs until the input ends and returns the exit status: 2 after a message if the input is malformed, else 0. */
    public static int run() throws IOException {
        try (FileInputStream in = new FileInputStream(FileDescriptor.in);
                FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            new SimulatorSession(in, out).run();
            return 0;
        } catch (InvalidInputException e) {
            System.err.println("granitefold: malformed input: " + e.getMessage());
            return 2;
        }
    }
}
