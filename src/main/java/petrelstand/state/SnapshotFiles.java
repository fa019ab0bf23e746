package petrelstand.state;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The names of a state folder's files, and which of them may go. A snapshot is {@code learned-N.state}, N its
 * generation in 16 hex digits; while it is written its name ends in {@code .tmp}. Only what this process knows to be
 * whole is ever deleted, so that a file which it could not read stays for whoever looks into it.
 */
public final class SnapshotFiles {
    /** Whole snapshots that stay in the folder. */
    public static final int MAX_KEPT_SNAPSHOTS = 2;

    private static final String PREFIX = "learned-";
    private static final String SUFFIX = ".state";
    private static final String TEMPORARY = ".tmp";

    private final Set<Long> markComplete = new TreeSet<>(Comparator.reverseOrder());
    private long highest;

    /** The name of a generation's file. */
    public static String fileName(long generation) {
        return String.format(Locale.ROOT, PREFIX + "%016x" + SUFFIX, generation);
    }

    /** The name that a generation's file has until it is whole and on the disk. */
    public static String temporaryFileName(long generation) {
        return fileName(generation) + TEMPORARY;
    }

    /** The generation of a snapshot's file; empty for any other name. */
    public static Optional<Long> parseGeneration(String name) {
        return name.matches(PREFIX + "[0-9a-f]{16}" + SUFFIX)
                ? Optional.of(Long.parseUnsignedLong(name.substring(PREFIX.length(), PREFIX.length() + 16), 16))
                        .filter(generation -> generation > 0)
                : Optional.empty();
    }

    /** True for what a write that did not end left behind. */
    public static boolean isTemporary(String name) {
        return name.endsWith(TEMPORARY)
                && parseGeneration(name.substring(0, name.length() - TEMPORARY.length())).isPresent();
    }

    /** The snapshots among names, the newest first. */
    public static List<Long> newestFirst(Collection<String> names) {
        return names.stream()
                .map(SnapshotFiles::parseGeneration)
                .flatMap(Optional::stream)
                .sorted(Comparator.reverseOrder())
                .toList();
    }

    /** A file of this generation is there, whole or not: its number is not used again. */
    public void markSeen(long generation) {
        highest = Math.max(highest, generation);
    }

    /** The file of this generation was read whole, or written whole and synced. */
    public void markComplete(long generation) {
        markSeen(generation);
        markComplete.add(generation);
    }

    /** The next generation; IllegalStateException where numbers have run out. */
    public long nextGeneration() {
        if (highest == Long.MAX_VALUE) {
            throw new IllegalStateException("generation " + highest + " is the last there is");
        }
        return highest + 1;
    }

    /** Whole generations beyond those that stay, the newest first. */
    public List<Long> deletable() {
        return markComplete.stream().skip(MAX_KEPT_SNAPSHOTS).toList();
    }

    /** The file of this generation is gone. */
    public void markDeleted(long generation) {
        markComplete.remove(generation);
    }
}
