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

/** A folder on a disk. The lock is the kernel's, on a file named {@code lock}: it ends with the process. */
public final class DiskFolder implements Folder {
    static final String LOCK_FILE_NAME = "lock";
    private static final FileAttribute<Set<PosixFilePermission>> OWNER_ONLY =
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"));

    private final Path folder;
    private FileChannel lockFile;
    /** What the locked file is to the file system: a folder put in the place of ours has another. */
    private Object lockKey;

    /** The folder is made where it is missing; its parent must be there. */
    public DiskFolder(Path folder) throws IOException {
        this.folder = folder;
        if (!Files.isDirectory(folder)) {
            try {
                Files.createDirectory(
                        folder, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
            } catch (FileAlreadyExistsException e) {
                throw new IOException(folder + " is not a folder", e);
            } catch (NoSuchFileException e) {
                throw new IOException(folder + " has no parent folder", e);
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
            // Another store of this very process has it.
        }
        if (lock == null) {
            close();
        } else {
            lockKey = readLockKey();
        }
        return lock != null;
    }

    private Object readLockKey() throws IOException {
        return Files.readAttributes(folder.resolve(LOCK_FILE_NAME), BasicFileAttributes.class, LinkOption.NOFOLLOW_LINKS)
                .fileKey();
    }

    @Override
    public List<String> list(int most) throws IOException {
        List<String> names = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                if (names.size() >= most) {
                    throw new IOException("the folder has more than " + most + " files");
                }
                names.add(file.getFileName().toString());
            }
        }
        return names;
    }

    @Override
    public byte[] read(String name, int most) throws IOException {
        try (SeekableByteChannel file = Files.newByteChannel(
                folder.resolve(name), Set.of(StandardOpenOption.READ, LinkOption.NOFOLLOW_LINKS))) {
            if (file.size() > most) {
                throw new IOException("it is longer than " + most + " bytes");
            }
            ByteBuffer content = ByteBuffer.allocate((int) file.size());
            while (content.hasRemaining() && file.read(content) >= 0) {
                // Goes on until all is read or the file has become shorter.
            }
            byte[] read = new byte[content.position()];
            content.flip().get(read);
            return read;
        }
    }

    @Override
    public void create(String name, byte[] content) throws IOException {
        if (lockKey != null && !lockKey.equals(readLockKey())) {
            throw new IOException("the folder is not the one that was locked");
        }
        try (FileChannel file = FileChannel.open(
                folder.resolve(name),
                Set.<OpenOption>of(StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS),
                OWNER_ONLY)) {
            ByteBuffer left = ByteBuffer.wrap(content);
            while (left.hasRemaining()) {
                file.write(left);
            }
        }
    }

    /** Creates a file as {@link #create} does, and keeps it open for more. */
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
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
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
