/**
 * Stores state of a gateway in files: snapshots of the learned state, accounts records, the incarnation, the last rules
 * and the marks of a hot restart. Files are replaced atomically and carry a checksum. File access may block, so it runs
 * on threads of its own and never on the event loop. Start with {@link petrelstand.store.StateKeeper} and
 * {@link petrelstand.store.SnapshotStore}; the decisions are made in {@code petrelstand.state}.
 */
package petrelstand.store;
