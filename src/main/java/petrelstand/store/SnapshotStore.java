package petrelstand.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import petrelstand.state.SnapshotFiles;
import petrelstand.state.Snapshot;

/**
 * The snapshots of one folder. A write makes a file of the next generation under a temporary name, syncs it, renames it
 * and syncs the folder's names; only then may an older one go. So whatever is lost, torn or done in another order
 * before a sync, the newest whole file is the one that was written last or the one before it. Not for several threads.
 */
public final class SnapshotStore implements Closeable {
    /** Files that a folder of ours can hold: a few snapshots, the lock, and what was refused and kept. */
    static final int MAX_FILES = 1000;

    /** What opening found: the newest whole snapshot (null: none), and a line for each file that was refused. */
    public record OpenResult(Snapshot newest, List<String> rejected) {}

    private final Folder folder;
    private final SnapshotFiles generations = new SnapshotFiles();

    public SnapshotStore(Folder folder) {
        this.folder = folder;
    }

    /**
     * Takes the folder and reads what is there, newest first, until {@link SnapshotFiles#MAX_KEPT_SNAPSHOTS} are found whole. Null
     * where another process has the folder. A file that is refused stays.
     */
    public OpenResult open() throws IOException {
        if (!folder.tryLock()) {
            return null;
        }
        List<String> names = folder.list(MAX_FILES);
        Snapshot newest = null;
        List<String> refused = new ArrayList<>();
        int whole = 0;
        for (long generation : SnapshotFiles.newestFirst(names)) {
            generations.markSeen(generation);
            if (whole == SnapshotFiles.MAX_KEPT_SNAPSHOTS) {
                break;
            }
            try {
                Snapshot snapshot = read(folder, generation);
                generations.markComplete(generation);
                newest = newest == null ? snapshot : newest;
                whole++;
            } catch (IOException | FileFormatException e) {
                refused.add(SnapshotFiles.fileName(generation) + ": " + e.getMessage());
            }
        }
        for (String name : names) {
            if (SnapshotFiles.isTemporary(name)) {
                folder.delete(name);
            }
        }
        return new OpenResult(newest, refused);
    }

    /** Reads one generation; its number must be the one in its name. */
    static Snapshot read(Folder folder, long generation) throws IOException, FileFormatException {
        Snapshot snapshot = SnapshotFormat.decode(folder.read(SnapshotFiles.fileName(generation), SnapshotFormat.MAX_FILE_BYTES));
        if (snapshot.generation() != generation) {
            throw new FileFormatException(SnapshotFormat.HEADER_BYTES, "it says it is generation " + snapshot.generation());
        }
        return snapshot;
    }

    /** Writes the next generation; whatever fails, the one before it stays. Returns the bytes written. */
    public int write(Snapshot taken) throws IOException {
        long generation = generations.nextGeneration();
        byte[] file = SnapshotFormat.encode(new Snapshot(
                taken.gateway(), taken.settingsFingerprint(), generation, taken.wallMs(), taken.cleanShutdown(), taken.learned()));
        String temporary = SnapshotFiles.temporaryFileName(generation);
        // What an earlier write left under this name, or a link that somebody put there.
        folder.delete(temporary);
        folder.create(temporary, file);
        folder.sync(temporary);
        folder.rename(temporary, SnapshotFiles.fileName(generation));
        folder.syncDirectory();
        generations.markComplete(generation);
        for (long old : generations.deletable()) {
            folder.delete(SnapshotFiles.fileName(old));
            generations.markDeleted(old);
        }
        return file.length;
    }

    @Override
    public void close() throws IOException {
        folder.close();
    }
}
