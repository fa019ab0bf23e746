package petrelstand.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import petrelstand.state.Generations;
import petrelstand.state.Snapshot;

/**
 * The snapshots of one folder. A write makes a file of the next generation under a temporary name, syncs it, renames it
 * and syncs the folder's names; only then may an older one go. So whatever is lost, torn or done in another order
 * before a sync, the newest whole file is the one that was written last or the one before it. Not for several threads.
 */
public final class StateStore implements Closeable {
    /** Files that a folder of ours can hold: a few snapshots, the lock, and what was refused and kept. */
    static final int MOST_FILES = 1000;

    /** What opening found: the newest whole snapshot (null: none), and a line for each file that was refused. */
    public record Found(Snapshot newest, List<String> refused) {}

    private final Folder folder;
    private final Generations generations = new Generations();

    public StateStore(Folder folder) {
        this.folder = folder;
    }

    /**
     * Takes the folder and reads what is there, newest first, until {@link Generations#KEPT} are found whole. Null
     * where another process has the folder. A file that is refused stays.
     */
    public Found open() throws IOException {
        if (!folder.lock()) {
            return null;
        }
        List<String> names = folder.list(MOST_FILES);
        Snapshot newest = null;
        List<String> refused = new ArrayList<>();
        int whole = 0;
        for (long generation : Generations.newestFirst(names)) {
            generations.seen(generation);
            if (whole == Generations.KEPT) {
                break;
            }
            try {
                Snapshot snapshot = read(folder, generation);
                generations.whole(generation);
                newest = newest == null ? snapshot : newest;
                whole++;
            } catch (IOException | StateFault e) {
                refused.add(Generations.name(generation) + ": " + e.getMessage());
            }
        }
        for (String name : names) {
            if (Generations.isTemporary(name)) {
                folder.delete(name);
            }
        }
        return new Found(newest, refused);
    }

    /** Reads one generation; its number must be the one in its name. */
    static Snapshot read(Folder folder, long generation) throws IOException, StateFault {
        Snapshot snapshot = SnapshotFormat.decode(folder.read(Generations.name(generation), SnapshotFormat.MOST_BYTES));
        if (snapshot.generation() != generation) {
            throw new StateFault(SnapshotFormat.HEAD, "it says it is generation " + snapshot.generation());
        }
        return snapshot;
    }

    /** Writes the next generation; whatever fails, the one before it stays. Returns the bytes written. */
    public int write(Snapshot taken) throws IOException {
        long generation = generations.next();
        byte[] file = SnapshotFormat.encode(new Snapshot(
                taken.gateway(), taken.settingsPrint(), generation, taken.wallMs(), taken.clean(), taken.learned()));
        String temporary = Generations.temporary(generation);
        // What an earlier write left under this name, or a link that somebody put there.
        folder.delete(temporary);
        folder.create(temporary, file);
        folder.sync(temporary);
        folder.rename(temporary, Generations.name(generation));
        folder.syncNames();
        generations.whole(generation);
        for (long old : generations.spare()) {
            folder.delete(Generations.name(old));
            generations.gone(old);
        }
        return file.length;
    }

    @Override
    public void close() throws IOException {
        folder.close();
    }
}
