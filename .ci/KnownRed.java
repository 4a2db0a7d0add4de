import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import javax.xml.parsers.DocumentBuilderFactory;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;

/**
 * Compares the reports of a test run with KNOWN-RED.txt: exactly the tests listed there may fail, and have to. Each entry is
 * a line "Class.method | command and seed | what was seen | issue"; lines that begin with # are comments.
 */
public final class KnownRed {
    private static final int FIELDS = 4;

    private KnownRed() { }

    public static void main(String[] args) throws Exception {
        List<String> problems = new ArrayList<>();
        TreeSet<String> listed = listed(Path.of(args[0]), problems);
        Map<String, Boolean> passed = new TreeMap<>();
        for (int i = 1; i < args.length; i++) {
            read(Path.of(args[i]), passed, problems);
        }
        for (String test : listed) {
            if (!passed.containsKey(test)) {
                problems.add(test + " is listed as known red, and there is no such test");
            } else if (passed.get(test)) {
                problems.add(test + " is listed as known red, and passes: take it off the list");
            } else {
                System.out.println("known red: " + test);
            }
        }
        passed.forEach((test, well) -> {
            if (!well && !listed.contains(test)) {
                problems.add(test + " failed");
            }
        });
        problems.forEach(problem -> System.out.println("FAILED: " + problem));
        long red = passed.values().stream().filter(well -> !well).count();
        System.out.println(passed.size() - red + " passed, " + red + " failed");
        System.exit(problems.isEmpty() ? 0 : 1);
    }

    private static TreeSet<String> listed(Path file, List<String> problems) throws IOException {
        TreeSet<String> tests = new TreeSet<>();
        for (String line : Files.readAllLines(file)) {
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            String[] fields = line.split("\\|");
            if (fields.length != FIELDS || Stream.of(fields).anyMatch(String::isBlank)) {
                problems.add(file + ": not an entry: " + line);
            } else {
                tests.add(fields[0].trim());
            }
        }
        return tests;
    }

    /** Takes in whether each test of a folder of reports passed; one that ran several times passed if it always did. */
    private static void read(Path folder, Map<String, Boolean> passed, List<String> problems) throws Exception {
        List<Path> reports;
        try (Stream<Path> files = Files.list(folder)) {
            reports = files.filter(f -> f.getFileName().toString().matches("TEST-.*\\.xml")).toList();
        }
        if (reports.isEmpty()) {
            problems.add("no test reports in " + folder);
        }
        for (Path report : reports) {
            NodeList cases = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(report.toFile()).getElementsByTagName("testcase");
            for (int i = 0; i < cases.getLength(); i++) {
                Element e = (Element) cases.item(i);
                String method = e.getAttribute("name").replaceFirst("[\\[({].*", "").trim();
                boolean well = e.getElementsByTagName("failure").getLength() + e.getElementsByTagName("error").getLength() == 0;
                passed.merge(e.getAttribute("classname").replaceFirst(".*\\.", "") + "." + method, well, Boolean::logicalAnd);
            }
        }
    }
}
