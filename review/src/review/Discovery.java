package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The agent of discovery: the whole list on a watch's first line, then changes as they come, and an empty line every 2 s. */
final class Discovery extends Server {
    private final Map<String, Map<String, Object>> entries;
    private final List<Connection> watches;
    private final long[] version;

    private Discovery(Map<String, Map<String, Object>> entries, List<Connection> watches, long[] version) throws IOException {
        super((request, connection) -> {
            boolean watch = request.target().contains("stream=1");
            synchronized (watches) {
                String list = list(true, version[0], new ArrayList<>(entries.values()));
                if (!watch) {
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                    return;
                }
                connection.startChunks();
                connection.chunk(list + "\n");
                watches.add(connection);
            }
            while (true) {
                Lab.sleep(2);
                connection.chunk("\n");
            }
        });
        this.entries = entries;
        this.watches = watches;
        this.version = version;
    }

    Discovery() throws IOException {
        this(new LinkedHashMap<>(), new ArrayList<>(), new long[] {1});
    }

    static String list(boolean whole, long version, List<Map<String, Object>> entries) {
        return Lab.json(Lab.map("index", version, "snapshot", whole, "endpoints", entries));
    }

    static Map<String, Object> entry(String name, String address, String zone, String type, String status) {
        return entry(name, address, zone, type, status, 0);
    }

    static Map<String, Object> entry(String name, String address, String zone, String type, String status, long sinceMs) {
        return Lab.map("name", name, "address", address, "zone", zone, "type", type, "group", 0, "status", status, "weight", 1.0,
                "since_ms", sinceMs);
    }

    /** Lists a cocinero, or changes its entry, and tells all watches. */
    void list(Map<String, Object> entry) {
        synchronized (watches) {
            version[0]++;
            entries.put((String) entry.get("name"), entry);
            watches.removeIf(watch -> {
                try {
                    watch.chunk(list(false, version[0], List.of(entry)) + "\n");
                    return false;
                } catch (IOException e) {
                    return true;
                }
            });
        }
    }

    /** The whole list, for `known` in a configuration. */
    Map<String, Object> known() {
        synchronized (watches) {
            return Lab.map("index", version[0], "snapshot", true, "endpoints", new ArrayList<>(entries.values()));
        }
    }
}
