package petrelstand.store;

import java.io.Closeable;
import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileChannel.MapMode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A log of request ids in a file that the processes of one gateway map into memory: one process appends, others read
 * what is new, without a system call. Each entry is the hash of an id and the time until which no request may be taken
 * under it, in microseconds of the machine's monotonic clock; 0 where it may be taken again. Holds the last
 * {@link #CAPACITY} entries. Not thread-safe.
 */
public final class TxnIdLog implements Closeable {
    /** Entries that a reader may fall behind before it misses some. */
    public static final int CAPACITY = 4096;

    private static final long FORMAT = 0x5049_4453_0000_0001L;
    private static final int FORMAT_OFFSET = 0;
    private static final int COUNT_OFFSET = Long.BYTES;
    private static final int HEADER_BYTES = 2 * Long.BYTES;
    private static final int ENTRY_BYTES = 2 * Long.BYTES;
    private static final int FILE_BYTES = HEADER_BYTES + CAPACITY * ENTRY_BYTES;

    private static final VarHandle LONGS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    /** Receives the entries that a reader has not seen. */
    public interface EntryConsumer {
        void accept(long idHash, long untilUs);
    }

    private final Path file;
    private final MappedByteBuffer bytes;
    private final boolean writer;
    /** Number of entries written or read. */
    private long count;

    private TxnIdLog(Path file, MappedByteBuffer bytes, boolean writer) {
        this.file = file;
        this.bytes = bytes;
        this.writer = writer;
    }

    /** Creates the log of this process; replaces a file that is there. */
    public static TxnIdLog create(Path file) throws IOException {
        Files.deleteIfExists(file);
        try (FileChannel channel = FileChannel.open(
                file, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            // Written, not only mapped: a full folder is then an error here, and not of a later access to memory.
            channel.write(ByteBuffer.allocate(FILE_BYTES));
            TxnIdLog log = new TxnIdLog(file, channel.map(MapMode.READ_WRITE, 0, FILE_BYTES), true);
            LONGS.setVolatile(log.bytes, FORMAT_OFFSET, FORMAT);
            return log;
        }
    }

    /**
     * Opens the log of another process, to be read from its oldest entry on.
     *
     * @throws IOException if the file can't be read, or is not whole yet
     */
    public static TxnIdLog open(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
            if (channel.size() != FILE_BYTES) {
                throw new IOException(
                        file.getFileName() + " has " + channel.size() + " bytes instead of " + FILE_BYTES);
            }
            TxnIdLog log = new TxnIdLog(file, channel.map(MapMode.READ_ONLY, 0, FILE_BYTES), false);
            if ((long) LONGS.getVolatile(log.bytes, FORMAT_OFFSET) != FORMAT) {
                throw new IOException(file.getFileName() + " is not a log of ids of this version");
            }
            return log;
        }
    }

    /** Appends an entry; the other processes see it from here on. */
    public void append(long idHash, long untilUs) {
        int offset = offsetOf(count);
        LONGS.set(bytes, offset, idHash);
        LONGS.set(bytes, offset + Long.BYTES, untilUs);
        count++;
        LONGS.setVolatile(bytes, COUNT_OFFSET, count);
    }

    /** Passes on the entries that have been appended since the last call, but for those that are overwritten. */
    public void readNew(EntryConsumer consumer) {
        long written = writtenCount();
        count = Math.max(count, written - CAPACITY);
        while (count < written) {
            int offset = offsetOf(count);
            long idHash = (long) LONGS.get(bytes, offset);
            long untilUs = (long) LONGS.get(bytes, offset + Long.BYTES);
            // The writer may have come round to this entry meanwhile.
            if (writtenCount() - count < CAPACITY) {
                consumer.accept(idHash, untilUs);
            }
            count++;
        }
    }

    private long writtenCount() {
        return (long) LONGS.getVolatile(bytes, COUNT_OFFSET);
    }

    private static int offsetOf(long entry) {
        return HEADER_BYTES + (int) (entry % CAPACITY) * ENTRY_BYTES;
    }

    /** Deletes the file of this process's own log; the memory stays mapped until nothing refers to it. */
    @Override
    public void close() throws IOException {
        if (writer) {
            Files.deleteIfExists(file);
        }
    }
}
