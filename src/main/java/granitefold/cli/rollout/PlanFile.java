package granitefold.cli.rollout;

import granitefold.operator.InvalidFileException;
import granitefold.operator.HoconFile;
import granitefold.operator.ConfigSection;
import granitefold.rollout.Margins;
import granitefold.rollout.Plan;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Rollout plan as its file describes it: the plan, the folder for its progress, and the supervisors' addresses by dispatcher. */
public record PlanFile(Plan plan, Path folder, Map<String, InetSocketAddress> supervisors) {
    private static final long HOUR_MS = 3_600_000;

    /** A file and the effective value of every key. */
    public record Read(PlanFile file, Map<String, String> effective) { }

    /** Reads and validates a plan. */
    public static Read read(Path file) throws InvalidFileException {
        HoconFile.Read<PlanFile> read = HoconFile.read(file, PlanFile::read);
        List<String> problems = read.value().plan.problems();
        if (!problems.isEmpty()) {
            throw new InvalidFileException(problems.stream().map(p -> file + ": " + p).toList());
        }
        return new Read(read.value(), read.effective());
    }

    private static PlanFile read(ConfigSection all) {
        Map<String, InetSocketAddress> supervisors = new LinkedHashMap<>();
        for (ConfigSection s : all.sections("dispatchers")) {
            supervisors.put(s.string("name", "", "a name of letters, digits and -", t -> t.matches("[0-9A-Za-z-]{1,64}")), s.address("keeper"));
            if (!s.has("name") || !s.has("keeper")) {
                s.reject("name", "a dispatcher needs a name and its keeper's address");
            }
            s.reportUnknownKeys();
        }
        ConfigSection baseline = all.section("old");
        ConfigSection candidate = all.section("new");
        ConfigSection comparison = all.section("look");
        ConfigSection tolerances = all.section("borne");
        Margins defaults = Margins.DEFAULTS;
        Map<String, Double> worth = new LinkedHashMap<>();
        for (String entry : tolerances.strings("worth", "class and worth, as \"escalar 3\"", t -> t.matches("\\S+ [0-9.]+"))) {
            worth.put(entry.split(" ")[0], Double.parseDouble(entry.split(" ")[1]));
        }
        Margins margins = new Margins(tolerances.number("alpha", defaults.alpha(), 1e-6, 0.5),
                tolerances.number("served", defaults.served(), 0.0001, 1),
                tolerances.number("refused", defaults.refused(), 0.0001, 1),
                tolerances.number("errors", defaults.errors(), 0.0001, 1),
                tolerances.number("time", defaults.time(), 1.01, 100),
                tolerances.number("memory", defaults.memory(), 1.01, 100),
                tolerances.integer("crashes", defaults.crashes(), 0, 1000), worth);
        int count = Math.max(1, supervisors.size());
        List<Integer> stages = stages(all.strings("stages", "a count or a share, as 1 or 10%", t -> t.matches("\\d{1,6}|\\d{1,3}%|all")), count);
        Plan plan = new Plan(all.string("name", "", "a label of printable characters", t -> t.matches("[!-~]{1,64}")),
                List.copyOf(supervisors.keySet()), stages,
                SupervisorFile.version(baseline), SupervisorFile.version(candidate), margins,
                all.strings("classes", "names of classes", t -> !t.isEmpty()),
                comparison.durationUs("warm", 5_000_000, 0, HOUR_MS), comparison.durationUs("least", 20_000_000, 0, HOUR_MS),
                comparison.durationUs("most", 180_000_000, 100, 24 * HOUR_MS),
                all.durationUs("step", 40_000_000, 100, HOUR_MS), all.choice("worse", "back", "back", "stop").equals("back"),
                all.bool("controls", true));
        String folder = all.string("folder", "/", "an absolute path", SupervisorFile::absolute);
        for (String key : List.of("name", "folder", "dispatchers", "old", "new", "stages")) {
            if (!all.has(key)) {
                all.reject(key, "is required");
            }
        }
        for (ConfigSection s : List.of(baseline, candidate, comparison, tolerances, all)) {
            s.reportUnknownKeys();
        }
        return new PlanFile(plan, Path.of(folder), supervisors);
    }

    /** Returns the dispatchers on the new version at the end of each stage. Shares are rounded up; a stage that adds none is dropped. */
    private static List<Integer> stages(List<String> texts, int count) {
        List<Integer> all = new ArrayList<>();
        for (String t : texts) {
            int n = t.equals("all") ? count : t.endsWith("%")
                    ? (int) Math.ceil(count * Integer.parseInt(t.replace("%", "")) / 100.0) : Integer.parseInt(t);
            n = Math.min(n, count);
            if (all.isEmpty() || n > all.get(all.size() - 1)) {
                all.add(n);
            }
        }
        return all;
    }
}
