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
import java.util.Locale;

/**
 * The marks that processes of one gateway leave in the folder that they share: a file each, locked for as long as the
 * process lives, whose one byte says whether it listens. The system lets go of a lock with its process, so that a mark
 * whose process was killed is known as such, and goes. Not for several threads.
 */
public final class ProcessMarks implements Closeable {
    /** What else there is: no other process, one that starts, or one that listens at the clients' address. */
    public enum OtherProcess {
        NONE,
        STARTING,
        LISTENING
    }

    /**
     * What a look found: the furthest of the other processes, how many there are, and whether this process's own mark
     * was there all the time; where it had vanished, it was left anew before the look.
     */
    public record ScanResult(OtherProcess other, int otherCount, boolean ownMarkPresent) {}

    private static final byte STARTING = 's';
    private static final byte LISTENING = 'l';

    private final Path folder;
    private final String prefix;
    private final Path ownMark;
    private FileChannel channel;
    private byte state = STARTING;

    /** Leaves a mark of a gateway, known by its name and address, that starts. */
    public ProcessMarks(Path folder, String gateway) throws IOException {
        this.folder = folder;
        this.prefix = String.format(Locale.ROOT, "petrelstand-%08x-", gateway.hashCode());
        this.ownMark =
                folder.resolve(prefix + Long.toHexString(ProcessHandle.current().pid()) + "-"
                        + Long.toHexString(System.nanoTime()) + ".mark");
        createOwnMark();
    }

    private void createOwnMark() throws IOException {
        channel =
                FileChannel.open(ownMark, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ, StandardOpenOption.WRITE);
        FileLock lock = channel.tryLock();
        if (lock == null) {
            channel.close();
            throw new IOException("the new mark " + ownMark.getFileName() + " is locked by another process");
        }
        writeState(state);
    }

    /** The file that one process hands its knowledge to the other in. */
    public Path handoverFile() {
        return folder.resolve(prefix + "learned");
    }

    /** From here on the other process knows that this one listens. */
    public void markListening() throws IOException {
        writeState(LISTENING);
    }

    private void writeState(byte what) throws IOException {
        state = what;
        channel.write(ByteBuffer.wrap(new byte[] {what}), 0);
    }

    /** Looks for other processes of this gateway; marks without one are taken away. */
    public ScanResult scan() throws IOException {
        boolean marked = Files.exists(ownMark);
        if (!marked) {
            channel.close();
            createOwnMark();
        }
        OtherProcess found = OtherProcess.NONE;
        int others = 0;
        try (DirectoryStream<Path> marks = Files.newDirectoryStream(folder, prefix + "*.mark")) {
            for (Path mark : marks) {
                OtherProcess other = mark.equals(ownMark) ? OtherProcess.NONE : scan(mark);
                found = other.compareTo(found) > 0 ? other : found;
                others += other == OtherProcess.NONE ? 0 : 1;
            }
        }
        return new ScanResult(found, others, marked);
    }

    private OtherProcess scan(Path mark) throws IOException {
        try (FileChannel other = FileChannel.open(mark, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            FileLock lock = other.tryLock();
            if (lock != null) {
                Files.deleteIfExists(mark);
                return OtherProcess.NONE;
            }
            ByteBuffer said = ByteBuffer.allocate(1);
            return other.read(said, 0) == 1 && said.get(0) == LISTENING ? OtherProcess.LISTENING : OtherProcess.STARTING;
        } catch (NoSuchFileException e) {
            return OtherProcess.NONE;
        }
    }

    /** Takes the own mark away. */
    @Override
    public void close() throws IOException {
        Files.deleteIfExists(ownMark);
        channel.close();
    }
}
