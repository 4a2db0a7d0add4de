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

/** A rollout's plan as its operator writes it: the plan, where the keepers are, and the folder that progress is kept in. */
public record PlanFile(Plan plan, Path folder, Map<String, InetSocketAddress> keepers) {
    private static final long HOUR_MS = 3_600_000;

    /** A file that was read, and every key with the value that holds. */
    public record Read(PlanFile file, Map<String, String> effective) { }

    /** Reads and checks a plan. */
    public static Read read(Path file) throws InvalidFileException {
        HoconFile.Read<PlanFile> read = HoconFile.read(file, PlanFile::read);
        List<String> problems = read.value().plan.problems();
        if (!problems.isEmpty()) {
            throw new InvalidFileException(problems.stream().map(p -> file + ": " + p).toList());
        }
        return new Read(read.value(), read.effective());
    }

    private static PlanFile read(ConfigSection all) {
        Map<String, InetSocketAddress> keepers = new LinkedHashMap<>();
        for (ConfigSection s : all.sections("dispatchers")) {
            keepers.put(s.string("name", "", "a name of letters, digits and -", t -> t.matches("[0-9A-Za-z-]{1,64}")), s.address("keeper"));
            if (!s.has("name") || !s.has("keeper")) {
                s.reject("name", "a dispatcher has a name and its keeper's address");
            }
            s.reportUnknownKeys();
        }
        ConfigSection old = all.section("old");
        ConfigSection fresh = all.section("new");
        ConfigSection look = all.section("look");
        ConfigSection borne = all.section("borne");
        Margins d = Margins.DEFAULTS;
        Map<String, Double> worth = new LinkedHashMap<>();
        for (String w : borne.strings("worth", "class and worth, as \"escalar 3\"", t -> t.matches("\\S+ [0-9.]+"))) {
            worth.put(w.split(" ")[0], Double.parseDouble(w.split(" ")[1]));
        }
        Margins margins = new Margins(borne.number("alpha", d.alpha(), 1e-6, 0.5), borne.number("served", d.served(), 0.0001, 1),
                borne.number("refused", d.refused(), 0.0001, 1), borne.number("errors", d.errors(), 0.0001, 1), borne.number("time", d.time(), 1.01, 100),
                borne.number("memory", d.memory(), 1.01, 100), borne.integer("crashes", d.crashes(), 0, 1000), worth);
        int count = Math.max(1, keepers.size());
        List<Integer> stages = stages(all.strings("stages", "a count or a share, as 1 or 10%", t -> t.matches("\\d{1,6}|\\d{1,3}%|all")), count);
        Plan plan = new Plan(all.string("name", "", "a word for people", t -> t.matches("[!-~]{1,64}")), List.copyOf(keepers.keySet()), stages,
                SupervisorFile.version(old), SupervisorFile.version(fresh), margins, all.strings("classes", "names of classes", t -> !t.isEmpty()),
                look.durationUs("warm", 5_000_000, 0, HOUR_MS), look.durationUs("least", 20_000_000, 0, HOUR_MS), look.durationUs("most", 180_000_000, 100, 24 * HOUR_MS),
                all.durationUs("step", 40_000_000, 100, HOUR_MS), all.choice("worse", "back", "back", "stop").equals("back"), all.bool("controls", true));
        String folder = all.string("folder", "/", "an absolute path", SupervisorFile::absolute);
        for (String key : List.of("name", "folder", "dispatchers", "old", "new", "stages")) {
            if (!all.has(key)) {
                all.reject(key, "is needed");
            }
        }
        for (ConfigSection s : List.of(old, fresh, look, borne, all)) {
            s.reportUnknownKeys();
        }
        return new PlanFile(plan, Path.of(folder), keepers);
    }

    /** How many run the new version at the end of each stage; shares are rounded up, and one that adds nobody is left out. */
    private static List<Integer> stages(List<String> texts, int count) {
        List<Integer> all = new ArrayList<>();
        for (String t : texts) {
            int n = t.equals("all") ? count : t.endsWith("%") ? (int) Math.ceil(count * Integer.parseInt(t.replace("%", "")) / 100.0) : Integer.parseInt(t);
            n = Math.min(n, count);
            if (all.isEmpty() || n > all.get(all.size() - 1)) {
                all.add(n);
            }
        }
        return all;
    }
}
