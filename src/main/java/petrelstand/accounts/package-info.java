/**
 * Attributes the latency of requests to causes: which volume's work, the node itself or the gateway's concurrency
 * window a request waited for at a node. It replays the gateway's own requests in a model of each node. The package
 * does no I/O and reads no clock; it uses {@code core} and {@code decision} only. Start reading at
 * {@link petrelstand.accounts.LatencyAttributor}, then {@link petrelstand.accounts.LatencyHistory}.
 */
package petrelstand.accounts;
