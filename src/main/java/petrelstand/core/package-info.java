/**
 * Owns each request from its acceptance to its final answer: exchanges, attempts, timers and counters. Carries out the
 * actions of the decision module, which alone chooses nodes, retries and refusals.
 *
 * <p>May not use sockets, files, threads, the system clock or a wire protocol; protocol front ends implement
 * {@link petrelstand.core.ClientHandler} and {@link petrelstand.core.NodeTransport}. Not thread-safe: all calls come
 * from the event loop. Start reading at {@link petrelstand.core.Broker}.
 */
package petrelstand.core;
