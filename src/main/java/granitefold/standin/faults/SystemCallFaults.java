package granitefold.standin.faults;

import java.io.IOException;
import java.io.InputStream;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The control file of one process: enables and disables its faults while it runs, and counts the injected ones. */
public final class SystemCallFaults {
    private static final String SOURCE = "faults.c", LIBRARY = "faults.so";
    private static final int SLOT_BYTES = 16, VALUE_OFFSET = 4, INJECTED_OFFSET = 8;
    private static final int ALWAYS_PERCENT = 100;
    /** A special value of the percentage: only the next call is affected. */
    private static final int NEXT_CALL_ONLY = 101;
    /** Where the control file has the time before which no hold-up of the process may begin, in milliseconds of the monotonic clock. */
    private static final int NEXT_HOLD_OFFSET = SystemCallFault.values().length * SLOT_BYTES;
    private static final int CONTROL_BYTES = NEXT_HOLD_OFFSET + Long.BYTES;
    private static final VarHandle LONG = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());
    /** From the end of a hold-up to the next: by then the process has read what arrived meanwhile. */
    private static final long MIN_HOLD_INTERVAL_MS = 500;

    private final Path library;
    private final Path control;
    private final MappedByteBuffer slots;

    private SystemCallFaults(Path library, Path control, MappedByteBuffer slots) {
        this.library = library;
        this.control = control;
        this.slots = slots;
    }

    /** Compiles the library into a folder with the machine's C compiler, unless it exists there. */
    public static Path build(Path folder) throws IOException, InterruptedException {
        Path library = folder.resolve(LIBRARY);
        if (Files.exists(library)) {
            return library;
        }
        Path source = folder.resolve(SOURCE);
        try (InputStream in = SystemCallFaults.class.getResourceAsStream(SOURCE)) {
            if (in == null) {
                throw new IOException("the jar does not contain the source of the fault library");
            }
            Files.write(source, in.readAllBytes());
        }
        Process compiler;
        try {
            compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O2", "-o", library.toString(), source.toString(), "-ldl")
                    .inheritIO().start();
        } catch (IOException e) {
            throw new IOException("injecting faults into system calls needs the C compiler cc (Debian package gcc): " + e.getMessage());
        }
        if (compiler.waitFor() != 0) {
            throw new IOException("the fault library did not compile; see the output of the compiler");
        }
        return library;
    }

    /** Creates the control file of one process, with all faults disabled. */
    public static SystemCallFaults create(Path library, Path control) throws IOException {
        try (FileChannel channel = FileChannel.open(control, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            MappedByteBuffer slots = channel.map(FileChannel.MapMode.READ_WRITE, 0, CONTROL_BYTES);
            slots.order(ByteOrder.nativeOrder());
            return new SystemCallFaults(library, control, slots);
        }
    }

    /** Returns the environment variables that the process must be started with. */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "GRANITEFOLD_FAULTS", control.toString());
    }

    /** Injects the fault into a percentage of the calls from now on. */
    public void enable(SystemCallFault fault, int percent, int value) {
        int offset = fault.ordinal() * SLOT_BYTES;
        slots.putInt(offset + VALUE_OFFSET, value);
        slots.putInt(offset, percent);
    }

    /** Lets every call fail with the error from now on. */
    public void enable(SystemCallFault fault, Errno error) {
        enable(fault, ALWAYS_PERCENT, error.number());
    }

    /** Lets only the next call fail with the error. */
    public void failNext(SystemCallFault fault, Errno error) {
        enable(fault, NEXT_CALL_ONLY, error.number());
    }

    /** Stops injecting the fault. */
    public void disable(SystemCallFault fault) {
        slots.putInt(fault.ordinal() * SLOT_BYTES, 0);
    }

    /**
     * Claims a hold-up of the process for this long, which the caller then causes; returns false if another one, also one that the
     * library has caused by {@link SystemCallFault#HELD_WRITE}, is under way or has just ended.
     */
    public boolean claimHoldUp(long ms) {
        // the monotonic clock that the library reads
        long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        long nextMs = (long) LONG.getVolatile(slots, NEXT_HOLD_OFFSET);
        return nowMs >= nextMs && LONG.compareAndSet(slots, NEXT_HOLD_OFFSET, nextMs, nowMs + ms + MIN_HOLD_INTERVAL_MS);
    }

    /** Returns how often the fault has been injected so far. */
    public long injected(SystemCallFault fault) {
        return slots.getLong(fault.ordinal() * SLOT_BYTES + INJECTED_OFFSET);
    }
}
