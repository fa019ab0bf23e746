package petrelstand;

import petrelstand.http.HttpFront;

/**
 * How a gateway shares out its descriptors: some kept back for the selector, the jars and the listeners, three fifths
 * of the rest for the platform's clients, two fifths for storage nodes, and the rsync front's own. Clients may have
 * requests on a third of all, so their part is never less.
 */
record Descriptors(int clients, int nodes) {
    private static final int KEPT = 64;

    /**
     * Kept back by each of two processes: for the jars, listeners and selector some 25, the rest for operators' calls.
     */
    private static final int KEPT_HALF = 40;

    /**
     * What each of two processes has of one gateway's. Clients' connections pass from one to the other and are at both
     * for a while, those to nodes are fewer than a quarter in use: so four fifths are for clients.
     */
    static Descriptors half(int sockets, int rsync) {
        int rest = Math.max(sockets / 4, sockets / 2 - KEPT_HALF - rsync);
        return new Descriptors(rest * 4 / 5 - HttpFront.MAX_CONNECTIONS_OVER_LIMIT, rest / 5);
    }

    /** The clients' part leaves room for those that are only told that there is none. */
    static Descriptors of(int sockets, int rsync) {
        int rest = Math.max(sockets / 2, sockets - KEPT - rsync);
        return new Descriptors(rest * 3 / 5 - HttpFront.MAX_CONNECTIONS_OVER_LIMIT, rest * 2 / 5);
    }
}
