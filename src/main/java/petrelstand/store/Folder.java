package petrelstand.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * The file operations on one folder that the stores need. Each method is a single step, so that a test can simulate a
 * crash between any two. Names are plain file names. Any method may block for as long as the disk does.
 */
public interface Folder extends Closeable {
    /** Locks the folder for this process; returns false if another process holds the lock. */
    boolean tryLock() throws IOException;

    /** Returns the names of the files; fails if there are more than the maximum. */
    List<String> list(int maxFiles) throws IOException;

    /** Reads a file; fails if it is longer than the maximum or a symbolic link. */
    byte[] read(String name, int maxBytes) throws IOException;

    /** Creates a file that only its owner may read and write; fails if it exists. */
    void create(String name, byte[] content) throws IOException;

    /** Forces a file's content to the disk. */
    void sync(String name) throws IOException;

    /** Renames a file atomically. */
    void rename(String from, String to) throws IOException;

    /** Forces the folder's directory entries to the disk. */
    void syncDirectory() throws IOException;

    /** Deletes a file if it exists; of a symbolic link the link itself. */
    void delete(String name) throws IOException;

    /** Releases the lock. */
    @Override
    void close() throws IOException;
}
