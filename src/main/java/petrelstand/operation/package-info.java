/**
 * The operators' HTTP server and the telemetry page that it serves. It runs on the event loop, with bounds of its own
 * on connections, sizes and times, so that operators' tools cannot disturb the clients. What a route does is given by
 * the caller. Start reading at {@link petrelstand.operation.OperatorServer}.
 */
package petrelstand.operation;
