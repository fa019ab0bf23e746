package petrelstand;

import petrelstand.http.HttpFront;

/**
 * How many connections of clients and of storage nodes a gateway's file descriptors allow. Some descriptors are
 * reserved for the selector, the jars, the listeners and rsync transfers; of the rest clients get three fifths and
 * nodes two. The clients' part is never below a third of all descriptors.
 *
 * @param clients maximum number of client connections
 * @param nodes maximum number of connections to storage nodes
 */
record Descriptors(int clients, int nodes) {
    private static final int RESERVED = 64;

    /** Reserved by each of two processes: some 25 for jars, listeners and selector, the rest for operators' calls. */
    private static final int RESERVED_PER_PROCESS = 40;

    /**
     * The limits of each of two processes during a hot restart. Clients get four fifths, since their connections exist
     * at both processes for a while.
     */
    static Descriptors half(int sockets, int rsyncDescriptors) {
        int available = Math.max(sockets / 4, sockets / 2 - RESERVED_PER_PROCESS - rsyncDescriptors);
        return new Descriptors(available * 4 / 5 - HttpFront.MAX_CONNECTIONS_OVER_LIMIT, available / 5);
    }

    /** The limits of a single process. Leaves room for clients that are only answered that the gateway is full. */
    static Descriptors of(int sockets, int rsyncDescriptors) {
        int available = Math.max(sockets / 2, sockets - RESERVED - rsyncDescriptors);
        return new Descriptors(available * 3 / 5 - HttpFront.MAX_CONNECTIONS_OVER_LIMIT, available * 2 / 5);
    }
}
