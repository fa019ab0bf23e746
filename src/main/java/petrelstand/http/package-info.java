/**
 * The HTTP/1.1 front for clients and the pool of connections to the storage nodes.
 *
 * <p>All code here runs on the event loop's thread and must not block. It uses {@code core}, {@code decision},
 * {@code lifecycle} and {@code net}, and no other package of the gateway. Begin with
 * {@link petrelstand.http.HttpFront}, {@link petrelstand.http.ClientConnection} and
 * {@link petrelstand.http.NodeConnectionPool}.
 */
package petrelstand.http;
