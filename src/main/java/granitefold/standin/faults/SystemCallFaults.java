package granitefold.standin.faults;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;

/** The control file of one process: switches its faults on and off while it runs, and counts those injected. */
public final class SystemCallFaults {
    private static final String SOURCE = "faults.c", LIBRARY = "faults.so";
    private static final int SLOT_BYTES = 16, VALUE_AT = 4, INJECTED_AT = 8;
    private static final int ALWAYS_PERCENT = 100;
    /** In place of a percentage. */
    private static final int NEXT_CALL_ONLY = 101;

    private final Path library;
    private final Path control;
    private final MappedByteBuffer slots;

    private SystemCallFaults(Path library, Path control, MappedByteBuffer slots) {
        this.library = library;
        this.control = control;
        this.slots = slots;
    }

    /** Builds the library in a folder with the machine's C compiler, unless it is there. */
    public static Path build(Path folder) throws IOException, InterruptedException {
        Path library = folder.resolve(LIBRARY);
        if (Files.exists(library)) {
            return library;
        }
        Path source = folder.resolve(SOURCE);
        try (InputStream in = SystemCallFaults.class.getResourceAsStream(SOURCE)) {
            if (in == null) {
                throw new IOException("the source of the fault library is not in the jar");
            }
            Files.write(source, in.readAllBytes());
        }
        Process compiler;
        try {
            compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O2", "-o", library.toString(), source.toString(), "-ldl")
                    .inheritIO().start();
        } catch (IOException e) {
            throw new IOException("faults in system calls need a C compiler, cc (Debian's package gcc): " + e.getMessage());
        }
        if (compiler.waitFor() != 0) {
            throw new IOException("the fault library does not compile");
        }
        return library;
    }

    /** A control file with every fault off, for one process. */
    public static SystemCallFaults create(Path library, Path control) throws IOException {
        int size = SystemCallFault.values().length * SLOT_BYTES;
        try (FileChannel channel = FileChannel.open(control, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            MappedByteBuffer slots = channel.map(FileChannel.MapMode.READ_WRITE, 0, size);
            slots.order(ByteOrder.nativeOrder());
            return new SystemCallFaults(library, control, slots);
        }
    }

    /** The variables with which the process has to be started. */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "GRANITEFOLD_FAULTS", control.toString());
    }

    /** From now on this happens to so many calls in a hundred. */
    public void enable(SystemCallFault fault, int percent, int value) {
        int at = fault.ordinal() * SLOT_BYTES;
        slots.putInt(at + VALUE_AT, value);
        slots.putInt(at, percent);
    }

    /** From now on every such call fails so. */
    public void enable(SystemCallFault fault, Errno error) {
        enable(fault, ALWAYS_PERCENT, error.number());
    }

    /** The next such call fails so, and it alone. */
    public void failNext(SystemCallFault fault, Errno error) {
        enable(fault, NEXT_CALL_ONLY, error.number());
    }

    /** From now on such calls are as they should be. */
    public void disable(SystemCallFault fault) {
        slots.putInt(fault.ordinal() * SLOT_BYTES, 0);
    }

    /** How often it has happened so far. */
    public long injected(SystemCallFault fault) {
        return slots.getLong(fault.ordinal() * SLOT_BYTES + INJECTED_AT);
    }
}
