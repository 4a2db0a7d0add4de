package granitefold.benchlink;

import granitefold.wire.InvalidInputException;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/** The adapter for the simulator: plays its wire on standard input and output. */
public final class SimulatorAdapter {

    private SimulatorAdapter() { }

    /** Runs until the input ends; malformed input ends it with one message and status 2. */
    public static int run() throws IOException {
        try (FileInputStream in = new FileInputStream(FileDescriptor.in);
                FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
            new Link(in, out).run();
            return 0;
        } catch (InvalidInputException e) {
            System.err.println("granitefold: malformed input: " + e.getMessage());
            return 2;
        }
    }
}
