/**
 * The event loop: one thread that runs Jetty's selector, the timers and every callback, with the loop's clock and the
 * base class of connections. It knows nothing of requests or nodes and uses no other package of the gateway but the
 * timers of {@code core}. Code that runs on the loop must not block. Start reading at
 * {@link petrelstand.net.EventLoop}, then {@link petrelstand.net.LoopConnection}.
 */
package petrelstand.net;
