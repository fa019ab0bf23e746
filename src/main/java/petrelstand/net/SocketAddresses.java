package petrelstand.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Addresses as they are written, "ip:port". */
public final class SocketAddresses {
    private SocketAddresses() {}

    /** The host must be an IP address: a name would be looked up, which blocks the loop. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (!host.matches("[0-9.]+|\\[?[0-9a-fA-F:.]+]?")) {
            throw new IllegalArgumentException("not an address with a port: '" + text + "'");
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | NumberFormatException e) {
            throw new IllegalArgumentException("not an address with a port: '" + text + "'");
        }
    }
}
