package petrelstand.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.channels.SeekableByteChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.NoSuchFileException;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * A folder of the file system. It is locked by a kernel lock on the file {@code lock}, released when the process ends.
 */
public final class DiskFolder implements Folder {
    static final String LOCK_FILE_NAME = "lock";
    private static final FileAttribute<Set<PosixFilePermission>> OWNER_ONLY =
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"));

    private final Path folder;
    private FileChannel lockFile;
    /** File system identity of the locked file; differs if the folder has been replaced since. */
    private Object lockKey;

    /**
     * Opens a folder and creates it if missing.
     *
     * @throws IOException if the path is not a folder or its parent folder does not exist
     */
    public DiskFolder(Path folder) throws IOException {
        this.folder = folder;
        if (!Files.isDirectory(folder)) {
            try {
                Files.createDirectory(
                        folder, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
            } catch (FileAlreadyExistsException e) {
                throw new IOException("cannot use " + folder + ": it is not a folder", e);
            } catch (NoSuchFileException e) {
                throw new IOException("cannot create " + folder + ": its parent folder does not exist", e);
            }
        }
    }

    @Override
    public boolean tryLock() throws IOException {
        lockFile = FileChannel.open(
                folder.resolve(LOCK_FILE_NAME),
                Set.<OpenOption>of(StandardOpenOption.CREATE, StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS),
                OWNER_ONLY);
        FileLock lock = null;
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            // This process itself holds the lock through another instance.
        }
        if (lock == null) {
            close();
        } else {
            lockKey = readLockKey();
        }
        return lock != null;
    }

    private Object readLockKey() throws IOException {
        return Files.readAttributes(
                        folder.resolve(LOCK_FILE_NAME), BasicFileAttributes.class, LinkOption.NOFOLLOW_LINKS)
                .fileKey();
    }

    @Override
    public List<String> list(int maxFiles) throws IOException {
        List<String> names = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                if (names.size() >= maxFiles) {
                    throw new IOException("folder " + folder + " has more than " + maxFiles + " files");
                }
                names.add(file.getFileName().toString());
            }
        }
        return names;
    }

    @Override
    public byte[] read(String name, int maxBytes) throws IOException {
        try (SeekableByteChannel file = Files.newByteChannel(
                folder.resolve(name), Set.of(StandardOpenOption.READ, LinkOption.NOFOLLOW_LINKS))) {
            if (file.size() > maxBytes) {
                throw new IOException("the file is longer than " + maxBytes + " bytes");
            }
            ByteBuffer content = ByteBuffer.allocate((int) file.size());
            while (content.hasRemaining() && file.read(content) >= 0) {
                // Repeats until the buffer is full or the file turns out to be shorter.
            }
            byte[] read = new byte[content.position()];
            content.flip().get(read);
            return read;
        }
    }

    @Override
    public void create(String name, byte[] content) throws IOException {
        if (lockKey != null && !lockKey.equals(readLockKey())) {
            throw new IOException("folder " + folder + " was replaced: it is not the one that was locked");
        }
        try (FileChannel file = FileChannel.open(
                folder.resolve(name),
                Set.<OpenOption>of(StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS),
                OWNER_ONLY)) {
            ByteBuffer remaining = ByteBuffer.wrap(content);
            while (remaining.hasRemaining()) {
                file.write(remaining);
            }
        }
    }

    /** Creates a file like {@link #create} and returns a channel that appends to it. */
    FileChannel createForAppend(String name) throws IOException {
        create(name, new byte[0]);
        return FileChannel.open(
                folder.resolve(name),
                Set.<OpenOption>of(StandardOpenOption.WRITE, StandardOpenOption.APPEND, LinkOption.NOFOLLOW_LINKS));
    }

    @Override
    public void sync(String name) throws IOException {
        try (FileChannel file = FileChannel.open(
                folder.resolve(name), Set.<OpenOption>of(StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS))) {
            file.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void close() throws IOException {
        if (lockFile != null) {
            lockFile.close();
            lockFile = null;
            lockKey = null;
        }
    }
}
