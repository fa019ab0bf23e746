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
 * A folder whose disk may fail. What was not synced may be lost, torn or done in any order: a file's unsynced content
 * is none, a part, or noise of the right length, and of the changes to names since the last sync any subset is there.
 */
class SimFolder implements Folder {
    /** A file: what a reader sees, and what is on the disk for sure (null: nothing of its content). */
    private static final class File {
        private byte[] content;
        private byte[] onDisk;

        File(byte[] content, byte[] onDisk) {
            this.content = content;
            this.onDisk = onDisk;
        }
    }

    /** A change to the names that the disk may not have seen: a name and its file, null where it is gone. */
    private record Change(String name, File file) {}

    /** A rename is one change on most disks; that it may be half there is the harder case, and is tried as well. */
    private final Map<String, File> names = new TreeMap<>();

    private final Map<String, File> onDisk = new TreeMap<>();
    private final List<Change> unsynced = new ArrayList<>();
    private int steps;
    /** The step before which the power is cut; steps count from 0. */
    int failBeforeStep = Integer.MAX_VALUE;
    /** Called before each step; may throw in its place. */
    Consumer<String> beforeStep = step -> {};

    boolean lockedByOther;

    /** The power was cut. */
    static final class PowerLoss extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    private void step(String what) {
        beforeStep.accept(what);
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

    /** How many ways a cut now can leave the disk. */
    int crashOutcomes() {
        return 1 << Math.min(12, unsynced.size());
    }

    /** The folder as found after a cut: a subset of the unsynced changes, and one of the ways to lose content. */
    SimFolder afterCrash(int subset, int loss) {
        SimFolder found = new SimFolder();
        Map<String, File> left = new TreeMap<>(onDisk);
        for (int i = 0; i < unsynced.size(); i++) {
            // Changes before the last twelve are there: the bound on what is enumerated.
            int bit = i - Math.max(0, unsynced.size() - 12);
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

    static final int LOSS_MODES = 4;

    private static byte[] loseContent(byte[] content, int loss) {
        byte[] noise = new byte[content.length];
        return switch (loss) {
            case 0 -> new byte[0];
            case 1 -> Arrays.copyOf(content, content.length / 2);
            case 2 -> noise;
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
    public List<String> list(int most) {
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
    public byte[] read(String name, int most) throws IOException {
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
