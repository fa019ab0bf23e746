package petrelstand.lifecycle;

/**
 * The numbers of connections and bytes of bodies that a gateway may hold at once, derived at its start from its heap
 * and its file descriptors. Memory for connections, volumes and nodes is reserved in full; bodies share the rest. A
 * body is the content of a request or an answer.
 *
 * @param clientConnections the maximum number of client connections
 * @param nodeConnections the maximum number of connections to storage nodes
 * @param bodyBytes the limit for all bodies together, those of requests in progress included
 * @param requestReadBytes the limit for bodies of requests that are being read, at most half of {@code bodyBytes}
 * @param answerReadBytes the limit for answers that are being read, at most half of {@code bodyBytes}
 * @param answerWriteBytes the limit for answers that are being written, at most half of {@code bodyBytes}
 */
public record MemoryLimits(
        int clientConnections,
        int nodeConnections,
        long bodyBytes,
        long requestReadBytes,
        long answerReadBytes,
        long answerWriteBytes) {
    private static final long MIB = 1 << 20;
    /** Live objects after the start and the first requests, with as much again for garbage. */
    static final long BASE_BYTES = 9 * MIB;
    /** A client connection with a request whose head has at most 2 KiB. */
    public static final long CLIENT_SHORT_HEAD_BYTES = 11 * 1024;
    /** A client connection's part of the memory for long heads. */
    static final long CLIENT_LONG_HEAD_BYTES = 7 * 1024;
    /** What is reserved for a client connection. */
    static final long CLIENT_BYTES = CLIENT_SHORT_HEAD_BYTES + CLIENT_LONG_HEAD_BYTES;
    /** A node connection with its buffers for a request's head and for an answer's head of at most 2 KiB. */
    public static final long NODE_CONNECTION_BYTES = 15 * 1024;
    /** What the decision module keeps of a volume. */
    public static final long VOLUME_BYTES = 640;
    /** What the decision module keeps of a node, with the node's entry in the list. */
    public static final long NODE_BYTES = 2 * 1024;

    /** The limits for bodies with ample memory; beyond them more memory would only lengthen queues. */
    private static final long MAX_REQUEST_READ_BYTES = 8 * MIB;

    private static final long MAX_ANSWER_READ_BYTES = 12 * MIB;
    private static final long MAX_ANSWER_WRITE_BYTES = 16 * MIB;
    private static final long MAX_BODY_BYTES = MAX_REQUEST_READ_BYTES + MAX_ANSWER_READ_BYTES + MAX_ANSWER_WRITE_BYTES;

    /** With less than these a gateway can't serve. */
    static final int MIN_CONNECTIONS = 8;

    static final long MIN_BODY_BYTES = MIB;

    /** The limits with ample memory. */
    public static final MemoryLimits MAXIMUM = withBodyBytes(Integer.MAX_VALUE, Integer.MAX_VALUE, MAX_BODY_BYTES);

    /**
     * Derives the limits. Connections get at most half of the memory that is left after the fixed parts.
     *
     * @param heapBytes the maximum heap size
     * @param memoryBytes the configured {@code limits.memory_mb}, in bytes; 0 if not set
     * @param sockets the configured {@code limits.sockets}
     * @param clients how many of these sockets are for clients
     * @param nodes how many of these sockets are for storage nodes
     * @param listedNodes the number of nodes on the list
     * @param volumes the maximum number of volumes that the decision module remembers
     * @throws IllegalArgumentException if there is too little memory or too few sockets; names the setting
     */
    public static MemoryLimits of(
            long heapBytes, long memoryBytes, int sockets, int clients, int nodes, int listedNodes, int volumes) {
        if (Math.min(clients, nodes) < MIN_CONNECTIONS) {
            throw new IllegalArgumentException("limits.sockets: " + sockets + " leave " + Math.max(0, clients)
                    + " connections for clients and " + Math.max(0, nodes) + " for nodes; " + MIN_CONNECTIONS
                    + " of each are needed");
        }
        boolean configured = memoryBytes > 0 && memoryBytes < heapBytes;
        long memory = configured ? memoryBytes : heapBytes;
        long free = memory - BASE_BYTES - volumes * VOLUME_BYTES - listedNodes * NODE_BYTES;
        double fraction = Math.min(1, free / 2.0 / (clients * CLIENT_BYTES + nodes * NODE_CONNECTION_BYTES));
        int clientConnections = (int) (clients * fraction);
        int nodeConnections = (int) (nodes * fraction);
        long bodyBytes = free - clientConnections * CLIENT_BYTES - nodeConnections * NODE_CONNECTION_BYTES;
        if (Math.min(clientConnections, nodeConnections) < MIN_CONNECTIONS || bodyBytes < MIN_BODY_BYTES) {
            throw new IllegalArgumentException((configured ? "limits.memory_mb: " : "the heap (-Xmx): ") + memory / MIB
                    + " MiB leave " + Math.max(0, free) / MIB + " MiB beside " + volumes + " volumes and " + listedNodes
                    + " nodes, too little for connections and bodies");
        }
        return withBodyBytes(clientConnections, nodeConnections, Math.min(MAX_BODY_BYTES, bodyBytes));
    }

    private static MemoryLimits withBodyBytes(int clientConnections, int nodeConnections, long bodyBytes) {
        return new MemoryLimits(
                clientConnections,
                nodeConnections,
                bodyBytes,
                Math.min(MAX_REQUEST_READ_BYTES, bodyBytes / 2),
                Math.min(MAX_ANSWER_READ_BYTES, bodyBytes / 2),
                Math.min(MAX_ANSWER_WRITE_BYTES, bodyBytes / 2));
    }

    /** The limit for the heads of requests that are longer than a client connection has room for. */
    public long longHeadBytes() {
        return clientConnections * CLIENT_LONG_HEAD_BYTES;
    }

    /** The limits as a log line. */
    public String toLogLine() {
        return "memory: at most " + clientConnections + " connections of clients and " + nodeConnections
                + " to nodes; bodies " + toKib(bodyBytes) + " KiB in all, of requests being read "
                + toKib(requestReadBytes) + ", of answers being read " + toKib(answerReadBytes)
                + ", of answers being written " + toKib(answerWriteBytes) + "; long heads of requests "
                + toKib(longHeadBytes());
    }

    private static long toKib(long bytes) {
        return bytes / 1024;
    }
}
