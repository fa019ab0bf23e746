/**
 * Decides which node gets a request, when, whether it is retried, and what is refused. The code is deterministic: time
 * comes with each event and random numbers from a seed. It may use neither clocks, threads, files nor sockets, and no
 * other package of the project.
 *
 * <p>Start with {@link petrelstand.decision.Scheduling}, the interface to the host, then
 * {@link petrelstand.decision.Policy}.
 */
package petrelstand.decision;
