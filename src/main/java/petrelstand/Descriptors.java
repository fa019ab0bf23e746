package petrelstand;

import petrelstand.http.HttpFront;

/**
 * How a gateway shares out its descriptors: some kept back for the selector, the jars and the listeners, three fifths
 * of the rest for the platform's clients, two fifths for storage nodes, and the rsync front's own. Clients may have
 * requests on a third of all, so their part is never less.
 */
record Descriptors(int clients, int nodes) {
    private static final int RESERVED = 64;

    /**
     * Kept back by each of two processes: for the jars, listeners and selector some 25, the rest for operators' calls.
     */
    private static final int RESERVED_PER_PROCESS = 40;

    /**
     * What each of two processes has of one gateway's. Clients' connections pass from one to the other and are at both
     * for a while, those to nodes are fewer than a quarter in use: so four fifths are for clients.
     */
    static Descriptors half(int sockets, int rsyncDescriptors) {
        int available = Math.max(sockets / 4, sockets / 2 - RESERVED_PER_PROCESS - rsyncDescriptors);
        return new Descriptors(available * 4 / 5 - HttpFront.MAX_CONNECTIONS_OVER_LIMIT, available / 5);
    }

    /** The clients' part leaves room for those that are only told that there is none. */
    static Descriptors of(int sockets, int rsyncDescriptors) {
        int available = Math.max(sockets / 2, sockets - RESERVED - rsyncDescriptors);
        return new Descriptors(available * 3 / 5 - HttpFront.MAX_CONNECTIONS_OVER_LIMIT, available * 2 / 5);
    }
}
