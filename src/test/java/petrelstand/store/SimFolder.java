package petrelstand.store;

import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Simulates a folder on a disk that may lose power. After a power loss, unsynced content may be missing, truncated or
 * replaced by zeros, and any subset of the unsynced directory changes may have been applied.
 */
class SimFolder implements Folder {
    /** The content that a reader sees, and the content that is synced (null if none is). */
    private static final class File {
        private byte[] content;
        private byte[] onDisk;

        File(byte[] content, byte[] onDisk) {
            this.content = content;
            this.onDisk = onDisk;
        }
    }

    /** An unsynced directory change: a name and its file, null if the name was removed. */
    private record Change(String name, File file) {}

    private final Map<String, File> names = new TreeMap<>();

    private final Map<String, File> onDisk = new TreeMap<>();
    private final List<Change> unsynced = new ArrayList<>();
    private static final int MAX_VARIED_CHANGES = 12;

    private int steps;
    /** The step, counted from 0, before which the power is lost. */
    int failBeforeStep = Integer.MAX_VALUE;
    /** Called with the name of each step before it; may throw to make the step fail. */
    Consumer<String> beforeStep = step -> {};

    boolean lockedByOther;

    /** Thrown in place of a step when the power is lost. */
    static final class PowerLoss extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    private void step(String name) {
        beforeStep.accept(name);
        if (steps++ >= failBeforeStep) {
            throw new PowerLoss();
        }
    }

    int steps() {
        return steps;
    }

    private void change(String name, File file) {
        if (file == null) {
            names.remove(name);
        } else {
            names.put(name, file);
        }
        unsynced.add(new Change(name, file));
    }

    /** Returns in how many ways a power loss now can leave the directory. */
    int crashOutcomes() {
        return 1 << Math.min(MAX_VARIED_CHANGES, unsynced.size());
    }

    /** Returns the folder after a power loss, for one subset of the unsynced changes and one way to lose content. */
    SimFolder afterCrash(int subset, int loss) {
        SimFolder found = new SimFolder();
        Map<String, File> left = new TreeMap<>(onDisk);
        for (int i = 0; i < unsynced.size(); i++) {
            // Only the last changes are varied, which bounds the number of subsets.
            int bit = i - Math.max(0, unsynced.size() - MAX_VARIED_CHANGES);
            if (bit < 0 || (subset >> bit & 1) != 0) {
                Change change = unsynced.get(i);
                if (change.file == null) {
                    left.remove(change.name);
                } else {
                    left.put(change.name, change.file);
                }
            }
        }
        left.forEach((name, file) -> {
            byte[] content = file.onDisk != null ? file.onDisk : loseContent(file.content, loss);
            File kept = new File(content, content);
            found.names.put(name, kept);
            found.onDisk.put(name, kept);
        });
        return found;
    }

    /** Number of ways in which unsynced content can be lost. */
    static final int LOSS_MODES = 4;

    private static byte[] loseContent(byte[] content, int loss) {
        byte[] zeros = new byte[content.length];
        return switch (loss) {
            case 0 -> new byte[0];
            case 1 -> Arrays.copyOf(content, content.length / 2);
            case 2 -> zeros;
            default -> {
                byte[] torn = content.clone();
                Arrays.fill(torn, 0, Math.min(torn.length, 512), (byte) 0);
                yield torn;
            }
        };
    }

    @Override
    public boolean tryLock() {
        return !lockedByOther;
    }

    @Override
    public List<String> list(int max) {
        return List.copyOf(names.keySet());
    }

    private File file(String name) throws IOException {
        File file = names.get(name);
        if (file == null) {
            throw new NoSuchFileException(name);
        }
        return file;
    }

    @Override
    public byte[] read(String name, int max) throws IOException {
        return file(name).content.clone();
    }

    @Override
    public void create(String name, byte[] content) throws IOException {
        step("create");
        if (names.containsKey(name)) {
            throw new FileAlreadyExistsException(name);
        }
        change(name, new File(content.clone(), null));
    }

    @Override
    public void sync(String name) throws IOException {
        step("sync");
        File file = file(name);
        file.onDisk = file.content;
    }

    @Override
    public void rename(String from, String to) throws IOException {
        step("rename");
        File file = file(from);
        // Two separate changes, so that a half-applied rename is covered.
        change(to, file);
        change(from, null);
    }

    @Override
    public void syncDirectory() {
        step("sync names");
        for (Change change : unsynced) {
            if (change.file == null) {
                onDisk.remove(change.name);
            } else {
                onDisk.put(change.name, change.file);
            }
        }
        unsynced.clear();
    }

    @Override
    public void delete(String name) {
        step("delete");
        if (names.containsKey(name)) {
            change(name, null);
        }
    }

    @Override
    public void close() {}
}
