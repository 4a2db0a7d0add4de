package granitefold.state;

import granitefold.recovery.LearnedState;
import java.nio.file.Path;
import java.util.List;

/** Saves numbered contents in a loop until it is killed, and prints each number after its save has returned. */
final class SaveLoop {
    private SaveLoop() { }

    public static void main(String[] args) throws Exception {
        try (DirectoryStorage storage = DirectoryStorage.open(Path.of(args[0]))) {
            StateStore store = new StateStore(storage, 2);
            StateStore.LoadResult found = store.load();
            long number = found.content() == null ? 0 : found.content().learned().at();
            System.out.println("found " + number + " " + found.problems());
            while (true) {
                number++;
                StateFile.Content content = StateFileTest.content(200, number);
                LearnedState learned = content.learned();
                store.save(new StateFile.Content(content.name(), content.settings(), 0, 1, content.tenants(), content.kinds(),
                        new LearnedState(number, learned.fetchUs(), learned.kept(), learned.meanWork(), learned.works(),
                                learned.kinds(), learned.workers(), learned.buckets(), List.of())));
                System.out.println("saved " + number);
            }
        }
    }
}
