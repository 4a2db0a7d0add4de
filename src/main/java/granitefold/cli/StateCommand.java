package granitefold.cli;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import granitefold.state.DirectoryStorage;
import granitefold.state.StateFile;
import granitefold.state.StateStore;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Reads state files without modifying them. Exit status 1: damaged or different. */
@Command(name = "state", mixinStandardHelpOptions = true, description = "Inspect state files.",
        subcommands = {StateCommand.Inspect.class, StateCommand.Verify.class, StateCommand.Diff.class, StateCommand.Export.class})
final class StateCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT)
            .setVisibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY);
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Commands.USAGE;
    }

    /** Reads a file, or the newest valid generation in a folder. */
    private static StateFile.Content read(Path path) throws IOException {
        Path folder = Files.isDirectory(path) ? path : path.toAbsolutePath().getParent();
        if (folder.equals(path)) {
            StateStore.LoadResult found = new StateStore(readOnly(folder), 10).load();
            if (found.content() == null) {
                throw new IOException(path + ": no valid file" + (found.problems().isEmpty() ? "" : ": "
                        + String.join("; ", found.problems())));
            }
            return found.content();
        }
        try {
            byte[] file = DirectoryStorage.readOnly(folder).read(path.getFileName().toString(), StateFile.MAX_LENGTH_BYTES);
            if (file == null) {
                throw new IOException(path + ": missing");
            }
            return StateFile.decode(file);
        } catch (StateFile.UnreadableFileException e) {
            throw new IOException(path + ": " + e.getMessage());
        }
    }

    /** Returns a storage that refuses all writes, so that the store cannot set files of other programs or newer versions aside. */
    private static granitefold.state.Storage readOnly(Path folder) {
        granitefold.state.Storage storage = DirectoryStorage.readOnly(folder);
        return new granitefold.state.Storage() {
            @Override
            public byte[] read(String name, int maxBytes) throws IOException {
                return storage.read(name, maxBytes);
            }

            @Override
            public void write(String name, byte[] bytes) throws IOException {
                throw new IOException("read only");
            }

            @Override
            public void force(String name) throws IOException {
                throw new IOException("read only");
            }

            @Override
            public void rename(String from, String to) throws IOException {
                throw new IOException("read only");
            }

            @Override
            public void forceDirectory() throws IOException {
                throw new IOException("read only");
            }
        };
    }

    abstract static class FileCommand implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "PATH", description = "A state file, or the folder that state.dir names.")
        protected Path path;
        @Spec
        protected CommandSpec spec;

        protected PrintWriter out() {
            return spec.commandLine().getOut();
        }
    }

    @Command(name = "inspect", mixinStandardHelpOptions = true, description = "Print a summary of a file.")
    static final class Inspect extends FileCommand {
        @Override
        public Integer call() throws IOException {
            StateFile.Content c = read(path);
            out().printf("version %d, of %s (%d of %d), written %s%n", StateFile.VERSION, c.name(), c.me(), c.siblings(),
                    java.time.Instant.ofEpochMilli(c.learned().at() / 1000));
            out().printf("%d workers, %d kinds %s, %d buckets, %d keys%n", c.learned().workers().size(), c.learned().kinds().size(),
                    c.kinds(), c.learned().buckets().size(), c.learned().keys().size());
            c.learned().buckets().forEach(b -> out().printf("tenant %s: used %s, credit %.1f%n",
                    c.tenants().get(b.tenant()), b.used(), b.credited()));
            return 0;
        }
    }

    @Command(name = "verify", mixinStandardHelpOptions = true,
            description = "Exit with 0 if the file is valid; else with 1, and print where it is damaged.")
    static final class Verify extends FileCommand {
        @Override
        public Integer call() throws IOException {
            read(path);
            out().println(path + ": whole");
            return 0;
        }
    }

    @Command(name = "diff", mixinStandardHelpOptions = true, description = "Exit with 0 if two files have the same content, else with 1.")
    static final class Diff extends FileCommand {
        @Parameters(index = "1", paramLabel = "OTHER")
        private Path other;

        @Override
        public Integer call() throws IOException {
            Map<String, String> a = flatten(JSON.valueToTree(read(path)), "", new TreeMap<>());
            Map<String, String> b = flatten(JSON.valueToTree(read(other)), "", new TreeMap<>());
            Map<String, String> all = new TreeMap<>(a);
            all.putAll(b);
            int differences = 0;
            for (String key : all.keySet()) {
                if (!java.util.Objects.equals(a.get(key), b.get(key))) {
                    out().println(key + ": " + a.get(key) + " | " + b.get(key));
                    differences++;
                }
            }
            return differences == 0 ? 0 : Commands.FAILURE;
        }

        private static Map<String, String> flatten(JsonNode node, String path, Map<String, String> into) {
            if (node.isContainerNode()) {
                int i = 0;
                if (node.isObject()) {
                    for (Iterator<Map.Entry<String, JsonNode>> entries = node.fields(); entries.hasNext();) {
                        Map.Entry<String, JsonNode> e = entries.next();
                        flatten(e.getValue(), path.isEmpty() ? e.getKey() : path + "." + e.getKey(), into);
                    }
                } else {
                    for (JsonNode n : node) {
                        flatten(n, path + "." + i++, into);
                    }
                }
            } else {
                into.put(path, node.asText());
            }
            return into;
        }
    }

    @Command(name = "export", mixinStandardHelpOptions = true, description = "Write the whole content of a file as JSON.")
    static final class Export extends FileCommand {
        @Option(names = "--json", required = true, paramLabel = "FILE", description = "Output file; - for standard output.")
        private String json;

        @Override
        public Integer call() throws IOException {
            byte[] text = JSON.writeValueAsBytes(read(path));
            if (json.equals("-")) {
                out().println(new String(text, java.nio.charset.StandardCharsets.UTF_8));
            } else {
                Files.write(Path.of(json), text);
            }
            return 0;
        }
    }
}
