package granitefold.state;

import granitefold.recovery.LearnedState;
import java.nio.file.Path;
import java.util.List;

/** Saves numbered contents one after the other, and prints each number once its save has come back; until it is killed. */
final class SaveLoop {
    private SaveLoop() { }

    public static void main(String[] args) throws Exception {
        try (DirectoryStorage disk = DirectoryStorage.open(Path.of(args[0]))) {
            StateStore store = new StateStore(disk, 2);
            StateStore.LoadResult found = store.load();
            long n = found.content() == null ? 0 : found.content().learned().at();
            System.out.println("found " + n + " " + found.problems());
            while (true) {
                n++;
                StateFile.Content c = StateFileTest.content(200, n);
                LearnedState l = c.learned();
                store.save(new StateFile.Content(c.name(), c.settings(), 0, 1, c.tenants(), c.kinds(), new LearnedState(n, l.fetchUs(), l.kept(),
                        l.meanWork(), l.works(), l.kinds(), l.workers(), l.buckets(), List.of())));
                System.out.println("saved " + n);
            }
        }
    }
}
