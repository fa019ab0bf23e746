/**
 * Keeps the gateway's list of storage nodes current by long polling a discovery agent over HTTP. Uses the connections
 * of {@code http} and the event loop of {@code net}; parsing the list belongs to {@code config}, and acting on it to
 * the caller. Start reading at {@link petrelstand.discovery.NodeListWatcher}.
 */
package petrelstand.discovery;
