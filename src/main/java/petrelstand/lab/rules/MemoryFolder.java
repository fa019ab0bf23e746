package petrelstand.lab.rules;

import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.NoSuchFileException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelstand.store.Folder;

/** A folder in memory that a process's lives share; only the newest that opened it may write. */
final class MemoryFolder {
    private final Map<String, byte[]> files = new TreeMap<>();
    private Folder owner;

    /** The folder as a new life has it. */
    Folder opened() {
        owner = new Open();
        return owner;
    }

    private final class Open implements Folder {
        private void mine() throws IOException {
            if (owner != this) {
                throw new IOException("another life has the folder");
            }
        }

        @Override
        public boolean tryLock() {
            return owner == this;
        }

        @Override
        public List<String> list(int most) {
            return List.copyOf(files.keySet());
        }

        @Override
        public byte[] read(String name, int most) throws IOException {
            if (!files.containsKey(name)) {
                throw new NoSuchFileException(name);
            }
            return files.get(name).clone();
        }

        @Override
        public void create(String name, byte[] content) throws IOException {
            mine();
            if (files.putIfAbsent(name, content.clone()) != null) {
                throw new FileAlreadyExistsException(name);
            }
        }

        @Override
        public void sync(String name) throws IOException {
            mine();
        }

        @Override
        public void rename(String from, String to) throws IOException {
            mine();
            files.put(to, files.remove(from));
        }

        @Override
        public void syncDirectory() throws IOException {
            mine();
        }

        @Override
        public void delete(String name) throws IOException {
            mine();
            files.remove(name);
        }

        @Override
        public void close() {}
    }
}
