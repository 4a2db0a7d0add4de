package granitefold.cli.rollout;

import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.rollout.Supervisor;
import granitefold.rollout.SupervisorAction;
import granitefold.rollout.SupervisorEvent;
import granitefold.rollout.SupervisorRecord;
import granitefold.state.DirectoryStorage;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Runs a {@link Supervisor}: one thread owns the state machine; other threads wait for processes and connections and queue events for it. */
final class SupervisorServer {
    private static final int BACKLOG = 32, HANDLER_THREADS = 8, READ_TIMEOUT_MS = 2000;
    private static final long TICK_MS = 100, LEFTOVER_TIMEOUT_S = 10;

    private final SupervisorFile file;
    private final DirectoryStorage disk;
    private final ChecksummedFile<SupervisorRecord> savedRecord;
    private final Supervisor supervisor;
    private final BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final Map<Long, SupervisedProcess> processes = new HashMap<>();
    private final ExecutorService executor = Executors.newFixedThreadPool(HANDLER_THREADS, r -> {
        Thread thread = new Thread(r, "keeper call");
        thread.setDaemon(true);
        return thread;
    });
    private volatile SupervisedProcess serving;
    private volatile SupervisedProcess starting;

    SupervisorServer(SupervisorFile file) throws IOException {
        this.file = file;
        disk = DirectoryStorage.open(file.folder());
        savedRecord = new ChecksummedFile<>(disk, "keeper", SupervisorRecord.class);
        SupervisorRecord record = savedRecord.read();
        supervisor = new Supervisor(new Supervisor.Options(file.overlap(), file.readyTimeoutUs()),
                record == null ? SupervisorRecord.initial(file.initialVersion()) : record);
    }

    private static long now() {
        return System.nanoTime() / 1000;
    }

    /** Runs until this process is terminated. The dispatcher keeps running without its supervisor and is found again after a restart. */
    void run() throws IOException, InterruptedException {
        ServerSocket listener = new ServerSocket(file.listen().getPort(), BACKLOG, file.listen().getAddress());
        EventLog.log(LogEvent.KEEPER, "listening on " + file.listen().getAddress().getHostAddress() + ":" + listener.getLocalPort());
        adoptProcesses();
        daemon(() -> accept(listener), "keeper accept");
        daemon(this::pollProcesses, "keeper watch");
        while (true) {
            Runnable next = queue.poll(TICK_MS, TimeUnit.MILLISECONDS);
            if (next != null) {
                next.run();
            }
            handleEvent(new SupervisorEvent.Tick());
        }
    }

    private static void daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Finds the processes left by a previous supervisor: adopts the recorded serving process and terminates all others, whose
     * versions are unknown.
     */
    private void adoptProcesses() throws InterruptedException {
        long previous = supervisor.previousServing();
        boolean alive = false;
        for (SupervisedProcess process : SupervisedProcess.find(file)) {
            if (process.incarnation == previous && !alive) {
                alive = true;
                processes.put(process.incarnation, process);
                waitFor(process);
            } else {
                EventLog.log(LogEvent.KEEPER, "terminates leftover process " + process.incarnation);
                process.handle.destroy();
                try {
                    process.handle.onExit().get(LEFTOVER_TIMEOUT_S, TimeUnit.SECONDS);
                } catch (java.util.concurrent.TimeoutException | java.util.concurrent.ExecutionException e) {
                    process.handle.destroyForcibly();
                }
            }
        }
        handleEvent(new SupervisorEvent.Startup(alive));
    }

    private void handleEvent(SupervisorEvent event) {
        List<SupervisorAction> actions = List.copyOf(supervisor.handle(event, now()));
        actions.forEach(this::perform);
        serving = processes.get(supervisor.servingIncarnation());
        starting = processes.get(supervisor.startingIncarnation());
    }

    private void perform(SupervisorAction action) {
        if (action instanceof SupervisorAction.Persist a) {
            try {
                savedRecord.write(a.record());
            } catch (IOException e) {
                // an action without a saved record must not be performed: it would be unknown after a restart
                EventLog.log(LogEvent.KEEPER_PROBLEM, "cannot save the state, exiting: " + e);
                Runtime.getRuntime().halt(1);
            }
        } else if (action instanceof SupervisorAction.Start a) {
            try {
                SupervisedProcess process = SupervisedProcess.start(file, a.incarnation(), a.version());
                processes.put(a.incarnation(), process);
                EventLog.log(LogEvent.KEEPER, "process " + a.incarnation() + " runs " + a.version().label() + ", pid " + process.handle.pid());
                waitFor(process);
            } catch (IOException | RuntimeException e) {
                queue.add(() -> handleEvent(new SupervisorEvent.Exited(a.incarnation(), "cannot be started: " + e.getMessage())));
            }
        } else if (action instanceof SupervisorAction.Terminate a) {
            processes.get(a.incarnation()).handle.destroy();
        } else if (action instanceof SupervisorAction.Kill a) {
            SupervisedProcess process = processes.get(a.incarnation());
            if (process != null) {
                process.handle.destroyForcibly();
            }
        } else if (action instanceof SupervisorAction.Log a) {
            EventLog.log(LogEvent.KEEPER, a.message());
        }
    }

    private void waitFor(SupervisedProcess process) {
        process.handle.onExit().thenAccept(exited -> queue.add(() -> {
            processes.remove(process.incarnation);
            handleEvent(new SupervisorEvent.Exited(process.incarnation, process.lastLine()));
        }));
    }

    /** Polls the starting process for readiness and the serving process for the number of requests it holds. */
    private void pollProcesses() {
        try {
            while (true) {
                SupervisedProcess process = starting;
                if (process != null && process.isReady()) {
                    queue.add(() -> handleEvent(new SupervisorEvent.Ready(process.incarnation)));
                }
                SupervisedProcess current = serving;
                if (current != null) {
                    current.integrateHeld();
                }
                Thread.sleep(TICK_MS / 2);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---------------------------------------------------------------- calls
    private void accept(ServerSocket listener) {
        while (true) {
            try {
                Socket s = listener.accept();
                executor.execute(() -> answer(s));
            } catch (IOException e) {
                EventLog.log(LogEvent.KEEPER_PROBLEM, e.toString());
            }
        }
    }

    private void answer(Socket socket) {
        try (socket) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            char[] line = new char[SupervisorProtocol.MAX_LINE_CHARS];
            int n = 0;
            for (int c = in.read(); c >= 0 && c != '\n' && n < line.length; c = in.read()) {
                line[n++] = (char) c;
            }
            String text = answer(new String(line, 0, n));
            socket.getOutputStream().write((text + "\n").getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            // the client gets no response
        }
    }

    private String answer(String line) throws IOException {
        SupervisorProtocol.Request call;
        try {
            call = ChecksummedFile.JSON.readValue(line, SupervisorProtocol.Request.class);
        } catch (IOException e) {
            call = null;
        }
        // queried on this thread, so that a slow response of the process does not delay the state machine
        SupervisedProcess process = serving;
        var sample = process == null ? null : process.sample();
        SupervisorProtocol.Request asked = call;
        java.util.concurrent.CompletableFuture<SupervisorProtocol.Response> answer = new java.util.concurrent.CompletableFuture<>();
        queue.add(() -> {
            String refused = null;
            if (asked == null || asked.call() == null) {
                refused = "a call is a line of JSON with call, status or order";
            } else if (asked.call().equals("order")) {
                refused = order(asked);
            } else if (!asked.call().equals("status")) {
                refused = "known are status and order";
            }
            answer.complete(new SupervisorProtocol.Response(SupervisorProtocol.PROTOCOL_VERSION, file.name(), refused, supervisor.status(sample)));
        });
        try {
            return ChecksummedFile.JSON.writeValueAsString(answer.get(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        } catch (InterruptedException | java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            throw new IOException("no response in time", e);
        }
    }

    private String order(SupervisorProtocol.Request call) {
        if (call.order() == null || call.version() == null || call.order().rollout() < 1) {
            return "an order has a number and a version";
        }
        if (supervisor.isStale(call.order())) {
            return "stale: order " + supervisor.record().seen() + " was seen";
        }
        handleEvent(new SupervisorEvent.OrderReceived(call.order(), call.version()));
        return null;
    }
}
