package petrelstand.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * What a state store asks of a file system, one method a step, so that a test can stop between any two. Names are plain
 * file names in one folder. Any method may block for as long as the disk does.
 */
public interface Folder extends Closeable {
    /** Takes the folder for this process alone; false where another has it. */
    boolean tryLock() throws IOException;

    /** The names of the files in it, at most so many. */
    List<String> list(int most) throws IOException;

    /** Reads a file of at most so many bytes; a symbolic link is not followed but is a fault. */
    byte[] read(String name, int most) throws IOException;

    /** Creates a file that its owner alone may read and write; one that is there already is a fault. */
    void create(String name, byte[] content) throws IOException;

    /** Returns once a file's content is on the disk. */
    void sync(String name) throws IOException;

    /** Renames in one step. */
    void rename(String from, String to) throws IOException;

    /** Returns once the folder's names are on the disk. */
    void syncDirectory() throws IOException;

    /** Deletes a file, or the link of that name itself; one that is not there is no fault. */
    void delete(String name) throws IOException;

    /** Lets go of the folder. */
    @Override
    void close() throws IOException;
}
