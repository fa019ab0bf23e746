package petrelstand.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Lets the processes of one gateway find each other during a hot restart. Each process has a mark file in a shared
 * folder, locked while it runs, whose single byte says whether it listens. The system releases the lock when the
 * process ends, so that a mark without a lock is stale and is deleted. Not thread-safe.
 */
public final class ProcessMarks implements Closeable {
    /** Whether there is another process, and whether it is starting or already listens at the clients' address. */
    public enum OtherProcess {
        NONE,
        STARTING,
        LISTENING
    }

    /**
     * The result of a scan.
     *
     * @param other the most advanced state among the other processes
     * @param otherCount number of other processes
     * @param ownMarkPresent false if this process's mark had disappeared; it was created again before the scan
     */
    public record ScanResult(OtherProcess other, int otherCount, boolean ownMarkPresent) {}

    private static final byte STARTING = 's';
    private static final byte LISTENING = 'l';

    private final Path folder;
    private final String prefix;
    private final Path ownMark;
    /** Marks of the other processes that the last scan found. */
    private List<Path> otherMarks = List.of();

    private FileChannel channel;
    private byte state = STARTING;

    /** Creates the mark of a starting process; {@code gateway} identifies the gateway by name and address. */
    public ProcessMarks(Path folder, String gateway) throws IOException {
        this.folder = folder;
        this.prefix = String.format(Locale.ROOT, "petrelstand-%08x-", gateway.hashCode());
        this.ownMark =
                folder.resolve(prefix + Long.toHexString(ProcessHandle.current().pid()) + "-"
                        + Long.toHexString(System.nanoTime()) + ".mark");
        createOwnMark();
    }

    private void createOwnMark() throws IOException {
        channel = FileChannel.open(
                ownMark, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ, StandardOpenOption.WRITE);
        FileLock lock = channel.tryLock();
        if (lock == null) {
            channel.close();
            throw new IOException(
                    "cannot lock the new mark " + ownMark.getFileName() + ": another process has locked it");
        }
        writeState(state);
    }

    /** Returns the path of the file in which a process passes its learned state to its replacement. */
    public Path handoverFile() {
        return folder.resolve(prefix + "learned");
    }

    /** Returns the path of this process's log of ids. */
    public Path txnIdLog() {
        return txnIdLog(ownMark);
    }

    /** Returns the paths of the logs of ids of the other processes that the last scan found. */
    public List<Path> otherTxnIdLogs() {
        return otherMarks.stream().map(ProcessMarks::txnIdLog).toList();
    }

    private static Path txnIdLog(Path mark) {
        return mark.resolveSibling(mark.getFileName() + ".ids");
    }

    /** Records in the mark that this process listens. */
    public void markListening() throws IOException {
        writeState(LISTENING);
    }

    private void writeState(byte newState) throws IOException {
        state = newState;
        channel.write(ByteBuffer.wrap(new byte[] {newState}), 0);
    }

    /** Looks for other processes of this gateway and deletes stale marks. */
    public ScanResult scan() throws IOException {
        boolean ownMarkPresent = Files.exists(ownMark);
        if (!ownMarkPresent) {
            channel.close();
            createOwnMark();
        }
        OtherProcess found = OtherProcess.NONE;
        List<Path> others = new ArrayList<>();
        try (DirectoryStream<Path> marks = Files.newDirectoryStream(folder, prefix + "*.mark")) {
            for (Path mark : marks) {
                OtherProcess other = mark.equals(ownMark) ? OtherProcess.NONE : scan(mark);
                found = other.compareTo(found) > 0 ? other : found;
                if (other != OtherProcess.NONE) {
                    others.add(mark);
                }
            }
        }
        otherMarks = List.copyOf(others);
        return new ScanResult(found, others.size(), ownMarkPresent);
    }

    private OtherProcess scan(Path mark) throws IOException {
        try (FileChannel other = FileChannel.open(mark, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            FileLock lock = other.tryLock();
            if (lock != null) {
                Files.deleteIfExists(mark);
                Files.deleteIfExists(txnIdLog(mark));
                return OtherProcess.NONE;
            }
            ByteBuffer content = ByteBuffer.allocate(1);
            return other.read(content, 0) == 1 && content.get(0) == LISTENING
                    ? OtherProcess.LISTENING
                    : OtherProcess.STARTING;
        } catch (NoSuchFileException e) {
            return OtherProcess.NONE;
        }
    }

    /** Deletes the mark of this process. */
    @Override
    public void close() throws IOException {
        Files.deleteIfExists(ownMark);
        channel.close();
    }
}
