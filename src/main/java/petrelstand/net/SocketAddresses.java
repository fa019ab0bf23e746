package petrelstand.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses socket addresses written as "ip:port". */
public final class SocketAddresses {
    private SocketAddresses() {}

    /**
     * Parses an IPv4 or IPv6 address with a port. Host names are refused, since resolving one would block the event
     * loop.
     *
     * @throws IllegalArgumentException if the text isn't an IP address followed by a valid port
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (!host.matches("[0-9.]+|\\[?[0-9a-fA-F:.]+]?")) {
            throw new IllegalArgumentException("expected an address as ip:port, but found '" + text + "'");
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | NumberFormatException e) {
            throw new IllegalArgumentException("expected an address as ip:port, but found '" + text + "'");
        }
    }
}
