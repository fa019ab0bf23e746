/**
 * Runs the membership protocol of {@code members} over UDP, with authenticated datagrams, a history file and metrics,
 * and carries rules messages between gateways.
 *
 * <p>The event loop must not block here: datagrams and the history file have threads of their own. Protocol decisions
 * belong to {@code members}. Begin reading with {@link petrelstand.fleet.FleetService}.
 */
package petrelstand.fleet;
