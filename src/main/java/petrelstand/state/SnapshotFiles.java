package petrelstand.state;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Names the snapshot files of a state folder and tracks which may be deleted. A snapshot is {@code learned-N.state}, N
 * being its generation in 16 hex digits; while it is being written, {@code .tmp} is appended. Only files known to be
 * complete are ever deleted, so that an unreadable file remains for inspection.
 */
public final class SnapshotFiles {
    /** Number of complete snapshots that are kept in the folder. */
    public static final int MAX_KEPT_SNAPSHOTS = 2;

    private static final String PREFIX = "learned-";
    private static final String SUFFIX = ".state";
    private static final String TEMPORARY = ".tmp";

    private final Set<Long> completeGenerations = new TreeSet<>(Comparator.reverseOrder());
    private long highestGeneration;

    /** Returns the file name of a complete snapshot. */
    public static String fileName(long generation) {
        return String.format(Locale.ROOT, PREFIX + "%016x" + SUFFIX, generation);
    }

    /** Returns the file name of a snapshot that is not yet complete and synced. */
    public static String temporaryFileName(long generation) {
        return fileName(generation) + TEMPORARY;
    }

    /** Returns the generation in the name of a snapshot file; empty for any other name. */
    public static Optional<Long> parseGeneration(String name) {
        return name.matches(PREFIX + "[0-9a-f]{16}" + SUFFIX)
                ? Optional.of(Long.parseUnsignedLong(name.substring(PREFIX.length(), PREFIX.length() + 16), 16))
                        .filter(generation -> generation > 0)
                : Optional.empty();
    }

    /** Returns whether the name is that of a temporary file, which an interrupted write leaves behind. */
    public static boolean isTemporary(String name) {
        return name.endsWith(TEMPORARY)
                && parseGeneration(name.substring(0, name.length() - TEMPORARY.length()))
                        .isPresent();
    }

    /** Returns the generations of the snapshot files among these names, newest first. */
    public static List<Long> newestFirst(Collection<String> names) {
        return names.stream()
                .map(SnapshotFiles::parseGeneration)
                .flatMap(Optional::stream)
                .sorted(Comparator.reverseOrder())
                .toList();
    }

    /** Records that a file of this generation exists, complete or not, so that its number is not reused. */
    public void markSeen(long generation) {
        highestGeneration = Math.max(highestGeneration, generation);
    }

    /** Records that the file of this generation was read without errors, or was written and synced. */
    public void markComplete(long generation) {
        markSeen(generation);
        completeGenerations.add(generation);
    }

    /**
     * Returns the generation for the next snapshot.
     *
     * @throws IllegalStateException if the numbers are exhausted
     */
    public long nextGeneration() {
        if (highestGeneration == Long.MAX_VALUE) {
            throw new IllegalStateException(
                    "cannot number the next snapshot: generation " + highestGeneration + " is the maximum");
        }
        return highestGeneration + 1;
    }

    /** Returns the complete generations beyond {@link #MAX_KEPT_SNAPSHOTS}, newest first. */
    public List<Long> deletable() {
        return completeGenerations.stream().skip(MAX_KEPT_SNAPSHOTS).toList();
    }

    /** Records that the file of this generation was deleted. */
    public void markDeleted(long generation) {
        completeGenerations.remove(generation);
    }
}
