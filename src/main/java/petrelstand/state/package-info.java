/**
 * Decides what the learned state of an earlier run is still worth, when the next snapshot is written, and which
 * snapshot files may be deleted. Pure logic: no I/O, no threads, and time is passed in. Start with
 * {@link petrelstand.state.SnapshotEvaluator}; the package {@code store} does the file access.
 */
package petrelstand.state;
