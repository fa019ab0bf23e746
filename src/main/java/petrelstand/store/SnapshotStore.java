package petrelstand.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import petrelstand.state.Snapshot;
import petrelstand.state.SnapshotFiles;

/**
 * The snapshots of one folder. A write creates the next generation under a temporary name, syncs and renames it, and
 * syncs the directory; only then are older files deleted. After a crash at any step, the newest complete file is thus
 * that of the last write or of the one before. Not thread-safe.
 */
public final class SnapshotStore implements Closeable {
    /** Maximum number of files in a folder, rejected ones included. */
    static final int MAX_FILES = 1000;

    /**
     * The result of opening a folder.
     *
     * @param newest the newest complete snapshot, null if there is none
     * @param rejected one line for each file that was rejected
     */
    public record OpenResult(Snapshot newest, List<String> rejected) {}

    private final Folder folder;
    private final SnapshotFiles files = new SnapshotFiles();

    public SnapshotStore(Folder folder) {
        this.folder = folder;
    }

    /**
     * Locks the folder and reads its snapshots, newest first, until {@link SnapshotFiles#MAX_KEPT_SNAPSHOTS} complete
     * ones are found. Rejected files stay in place; temporary files are deleted.
     *
     * @return null if another process holds the folder
     */
    public OpenResult open() throws IOException {
        if (!folder.tryLock()) {
            return null;
        }
        List<String> names = folder.list(MAX_FILES);
        Snapshot newest = null;
        List<String> rejected = new ArrayList<>();
        int complete = 0;
        for (long generation : SnapshotFiles.newestFirst(names)) {
            files.markSeen(generation);
            if (complete == SnapshotFiles.MAX_KEPT_SNAPSHOTS) {
                break;
            }
            try {
                Snapshot snapshot = read(folder, generation);
                files.markComplete(generation);
                newest = newest == null ? snapshot : newest;
                complete++;
            } catch (IOException | FileFormatException e) {
                rejected.add(SnapshotFiles.fileName(generation) + ": " + e.getMessage());
            }
        }
        for (String name : names) {
            if (SnapshotFiles.isTemporary(name)) {
                folder.delete(name);
            }
        }
        return new OpenResult(newest, rejected);
    }

    /** Reads one generation; fails if the file contains another generation than its name says. */
    static Snapshot read(Folder folder, long generation) throws IOException, FileFormatException {
        Snapshot snapshot =
                SnapshotFormat.decode(folder.read(SnapshotFiles.fileName(generation), SnapshotFormat.MAX_FILE_BYTES));
        if (snapshot.generation() != generation) {
            throw new FileFormatException(
                    SnapshotFormat.HEADER_BYTES, "it says it is generation " + snapshot.generation());
        }
        return snapshot;
    }

    /**
     * Writes a snapshot as the next generation, whatever its own; if that fails, the previous file stays.
     *
     * @return the number of bytes written
     */
    public int write(Snapshot snapshot) throws IOException {
        long generation = files.nextGeneration();
        byte[] content = SnapshotFormat.encode(new Snapshot(
                snapshot.gateway(),
                snapshot.settingsFingerprint(),
                generation,
                snapshot.wallMs(),
                snapshot.cleanShutdown(),
                snapshot.learned()));
        String temporary = SnapshotFiles.temporaryFileName(generation);
        // Removes a leftover of an earlier write or a foreign symbolic link.
        folder.delete(temporary);
        folder.create(temporary, content);
        folder.sync(temporary);
        folder.rename(temporary, SnapshotFiles.fileName(generation));
        folder.syncDirectory();
        files.markComplete(generation);
        for (long obsolete : files.deletable()) {
            folder.delete(SnapshotFiles.fileName(obsolete));
            files.markDeleted(obsolete);
        }
        return content.length;
    }

    @Override
    public void close() throws IOException {
        folder.close();
    }
}
