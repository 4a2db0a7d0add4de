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

/** Runs a {@link Supervisor}: one thread has the machine, others wait for processes, sockets and answers and tell it. */
final class SupervisorServer {
    private static final int BACKLOG = 32, CALLERS = 8, READ_MS = 2000;
    private static final long TICK_MS = 100, LEFT_OVER_S = 10;

    private final SupervisorFile file;
    private final DirectoryStorage disk;
    private final ChecksummedFile<SupervisorRecord> kept;
    private final Supervisor keeper;
    private final BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final Map<Long, SupervisedProcess> processes = new HashMap<>();
    private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS, r -> {
        Thread t = new Thread(r, "keeper call");
        t.setDaemon(true);
        return t;
    });
    private volatile SupervisedProcess serving;
    private volatile SupervisedProcess coming;

    SupervisorServer(SupervisorFile file) throws IOException {
        this.file = file;
        disk = DirectoryStorage.open(file.folder());
        kept = new ChecksummedFile<>(disk, "keeper", SupervisorRecord.class);
        SupervisorRecord record = kept.read();
        keeper = new Supervisor(new Supervisor.Options(file.overlap(), file.readyTimeoutUs()), record == null ? SupervisorRecord.initial(file.first()) : record);
    }

    private static long now() {
        return System.nanoTime() / 1000;
    }

    /** Runs until the process is ended; the dispatcher goes on without its keeper, and is found again. */
    void run() throws IOException, InterruptedException {
        ServerSocket listener = new ServerSocket(file.listen().getPort(), BACKLOG, file.listen().getAddress());
        EventLog.log(LogEvent.KEEPER, "listening on " + file.listen().getAddress().getHostAddress() + ":" + listener.getLocalPort());
        begin();
        daemon(() -> accept(listener), "keeper accept");
        daemon(this::watch, "keeper watch");
        while (true) {
            Runnable next = queue.poll(TICK_MS, TimeUnit.MILLISECONDS);
            if (next != null) {
                next.run();
            }
            take(new SupervisorEvent.Tick());
        }
    }

    private static void daemon(Runnable what, String name) {
        Thread t = new Thread(what, name);
        t.setDaemon(true);
        t.start();
    }

    /** What a keeper before this one left running: one may serve on, any other one would be a version that nobody knows of. */
    private void begin() throws InterruptedException {
        long serves = keeper.previousServing();
        boolean alive = false;
        for (SupervisedProcess p : SupervisedProcess.find(file)) {
            if (p.incarnation == serves && !alive) {
                alive = true;
                processes.put(p.incarnation, p);
                waitFor(p);
            } else {
                EventLog.log(LogEvent.KEEPER, "ends a process that is left of life " + p.incarnation);
                p.handle.destroy();
                try {
                    p.handle.onExit().get(LEFT_OVER_S, TimeUnit.SECONDS);
                } catch (java.util.concurrent.TimeoutException | java.util.concurrent.ExecutionException e) {
                    p.handle.destroyForcibly();
                }
            }
        }
        take(new SupervisorEvent.Startup(alive));
    }

    private void take(SupervisorEvent event) {
        List<SupervisorAction> actions = List.copyOf(keeper.handle(event, now()));
        actions.forEach(this::perform);
        serving = processes.get(keeper.servingIncarnation());
        coming = processes.get(keeper.startingIncarnation());
    }

    private void perform(SupervisorAction action) {
        if (action instanceof SupervisorAction.Persist a) {
            try {
                kept.write(a.record());
            } catch (IOException e) {
                // what is not kept must not be done: whoever comes back would not know of it
                EventLog.log(LogEvent.KEEPER_PROBLEM, "cannot keep what it is about to do, and ends: " + e);
                Runtime.getRuntime().halt(1);
            }
        } else if (action instanceof SupervisorAction.Start a) {
            try {
                SupervisedProcess p = SupervisedProcess.start(file, a.incarnation(), a.version());
                processes.put(a.incarnation(), p);
                EventLog.log(LogEvent.KEEPER, "life " + a.incarnation() + " is " + a.version().label() + ", pid " + p.handle.pid());
                waitFor(p);
            } catch (IOException | RuntimeException e) {
                queue.add(() -> take(new SupervisorEvent.Exited(a.incarnation(), "cannot be started: " + e.getMessage())));
            }
        } else if (action instanceof SupervisorAction.Terminate a) {
            processes.get(a.incarnation()).handle.destroy();
        } else if (action instanceof SupervisorAction.Kill a) {
            SupervisedProcess p = processes.get(a.incarnation());
            if (p != null) {
                p.handle.destroyForcibly();
            }
        } else if (action instanceof SupervisorAction.Log a) {
            EventLog.log(LogEvent.KEEPER, a.what());
        }
    }

    private void waitFor(SupervisedProcess p) {
        p.handle.onExit().thenAccept(h -> queue.add(() -> {
            processes.remove(p.incarnation);
            take(new SupervisorEvent.Exited(p.incarnation, p.lastLine()));
        }));
    }

    /** Asks a process that is coming up whether it serves, and looks what the one that serves holds. */
    private void watch() {
        try {
            while (true) {
                SupervisedProcess p = coming;
                if (p != null && p.serves()) {
                    queue.add(() -> take(new SupervisorEvent.Ready(p.incarnation)));
                }
                SupervisedProcess q = serving;
                if (q != null) {
                    q.watch();
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
                callers.execute(() -> answer(s));
            } catch (IOException e) {
                EventLog.log(LogEvent.KEEPER_PROBLEM, e.toString());
            }
        }
    }

    private void answer(Socket socket) {
        try (socket) {
            socket.setSoTimeout(READ_MS);
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            char[] line = new char[SupervisorProtocol.MAX_LINE_CHARS];
            int n = 0;
            for (int c = in.read(); c >= 0 && c != '\n' && n < line.length; c = in.read()) {
                line[n++] = (char) c;
            }
            String text = answer(new String(line, 0, n));
            socket.getOutputStream().write((text + "\n").getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            // who does not wait for an answer gets none
        }
    }

    private String answer(String line) throws IOException {
        SupervisorProtocol.Request call;
        try {
            call = ChecksummedFile.JSON.readValue(line, SupervisorProtocol.Request.class);
        } catch (IOException e) {
            call = null;
        }
        // asked of the process on this thread: a slow answer must not hold up the machine
        SupervisedProcess p = serving;
        var sample = p == null ? null : p.sample();
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
            answer.complete(new SupervisorProtocol.Response(SupervisorProtocol.PROTOCOL_VERSION, file.name(), refused, keeper.status(sample)));
        });
        try {
            return ChecksummedFile.JSON.writeValueAsString(answer.get(READ_MS, TimeUnit.MILLISECONDS));
        } catch (InterruptedException | java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            throw new IOException("no answer in time", e);
        }
    }

    private String order(SupervisorProtocol.Request call) {
        if (call.order() == null || call.version() == null || call.order().rollout() < 1) {
            return "an order has a number and a version";
        }
        if (keeper.isStale(call.order())) {
            return "stale: order " + keeper.record().seen() + " was seen";
        }
        take(new SupervisorEvent.OrderReceived(call.order(), call.version()));
        return null;
    }
}
