/**
 * A voter that replicates the rules with the MicroRaft library: its files, its wire format and the recovery after a
 * lost majority.
 *
 * <p>The decisions about leases and versions are made in {@code petrelstand.agreement}; this package opens no sockets
 * and starts no threads, but gets its transport and executor from the gateway. Begin with
 * {@link petrelstand.consensus.Voter}, then {@link petrelstand.consensus.RaftFiles} for the stored state and
 * {@link petrelstand.consensus.WireCodec} for the messages.
 */
package petrelstand.consensus;
