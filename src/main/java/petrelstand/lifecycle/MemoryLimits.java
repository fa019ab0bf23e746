package petrelstand.lifecycle;

/**
 * What a gateway may hold at once, derived at its start from its heap and its descriptors. Each kind of thing has a
 * size, measured or estimated; what is of a bounded number (connections, volumes, nodes) is set aside whole, and the
 * bytes of bodies share what is left. Bodies of all kinds together never hold more than {@link #bodyBytes}, and no kind
 * that is read or written more than half of it.
 *
 * @param clients connections of clients
 * @param nodes connections to storage nodes
 * @param bodyBytes all bodies together, with those of requests that are in work
 * @param requestBytes bodies of requests that are being read
 * @param answerBytes answers that are being read
 * @param writtenBytes answers that are being written
 */
public record MemoryLimits(
        int clientConnections,
        int nodeConnections,
        long bodyBytes,
        long requestReadBytes,
        long answerReadBytes,
        long answerWriteBytes) {
    private static final long MIB = 1 << 20;
    /** Live after a start and its first requests (4.4 MB were measured), and as much again for what is garbage soon. */
    static final long BASE_BYTES = 9 * MIB;
    /** A client's connection with a request whose head is near its bound. */
    static final long CLIENT_BYTES = 18 * 1024;
    /** A node's connection with a call of its own: the room of the head that is sent, and of the one that comes. */
    static final long NODE_CONNECTION_BYTES = 15 * 1024;
    /** What the decision module keeps of a volume. */
    public static final long VOLUME_BYTES = 640;
    /** What it keeps of a node, its entry in the list with it. */
    public static final long NODE_BYTES = 2 * 1024;

    /** Bounds that more memory does not raise: what waits beyond them only waits longer. */
    private static final long MOST_REQUESTS = 8 * MIB;

    private static final long MOST_ANSWERS = 12 * MIB;
    private static final long MOST_WRITTEN = 16 * MIB;
    private static final long MOST_BODIES = MOST_REQUESTS + MOST_ANSWERS + MOST_WRITTEN;

    /** Below these a gateway serves nobody. */
    static final int MIN_CONNECTIONS = 8;

    static final long MIN_BODY_BYTES = MIB;

    /** The bounds where memory is not short. */
    public static final MemoryLimits MAXIMUM = bodies(Integer.MAX_VALUE, Integer.MAX_VALUE, MOST_BODIES);

    /**
     * The bounds for a gateway. Connections have half at most of what the fixed parts leave.
     *
     * @param heapBytes the most that the heap may grow to
     * @param memoryBytes what the file's {@code limits.memory_mb} says; 0: nothing
     * @param sockets what the file's {@code limits.sockets} says
     * @param clients the clients' part of those
     * @param nodes the storage nodes' part of them
     * @param listedNodes nodes on the list
     * @param volumes volumes that are remembered at most
     * @throws IllegalArgumentException where not even the least fits; its text names the field
     */
    public static MemoryLimits of(
            long heapBytes, long memoryBytes, int sockets, int clients, int nodes, int listedNodes, int volumes) {
        if (Math.min(clients, nodes) < MIN_CONNECTIONS) {
            throw new IllegalArgumentException("limits.sockets: " + sockets + " leave " + Math.max(0, clients)
                    + " connections for clients and " + Math.max(0, nodes) + " for nodes; " + MIN_CONNECTIONS
                    + " of each are needed");
        }
        boolean told = memoryBytes > 0 && memoryBytes < heapBytes;
        long memory = told ? memoryBytes : heapBytes;
        long free = memory - BASE_BYTES - volumes * VOLUME_BYTES - listedNodes * NODE_BYTES;
        double part = Math.min(1, free / 2.0 / (clients * CLIENT_BYTES + nodes * NODE_CONNECTION_BYTES));
        int clientsHeld = (int) (clients * part);
        int nodesHeld = (int) (nodes * part);
        long bodies = free - clientsHeld * CLIENT_BYTES - nodesHeld * NODE_CONNECTION_BYTES;
        if (Math.min(clientsHeld, nodesHeld) < MIN_CONNECTIONS || bodies < MIN_BODY_BYTES) {
            throw new IllegalArgumentException((told ? "limits.memory_mb: " : "the heap (-Xmx): ") + memory / MIB
                    + " MiB leave " + Math.max(0, free) / MIB + " MiB beside " + volumes + " volumes and " + listedNodes
                    + " nodes, too little for connections and bodies");
        }
        return bodies(clientsHeld, nodesHeld, Math.min(MOST_BODIES, bodies));
    }

    private static MemoryLimits bodies(int clients, int nodes, long bytes) {
        return new MemoryLimits(
                clients,
                nodes,
                bytes,
                Math.min(MOST_REQUESTS, bytes / 2),
                Math.min(MOST_ANSWERS, bytes / 2),
                Math.min(MOST_WRITTEN, bytes / 2));
    }

    /** The bounds as one line of the log. */
    public String toLogLine() {
        return "memory: at most " + clientConnections + " connections of clients and " + nodeConnections
                + " to nodes; bodies "
                + kib(bodyBytes) + " KiB in all, of requests being read " + kib(requestReadBytes)
                + ", of answers being read " + kib(answerReadBytes) + ", of answers being written "
                + kib(answerWriteBytes);
    }

    private static long kib(long bytes) {
        return bytes / 1024;
    }
}
