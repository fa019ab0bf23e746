import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What the operating system tells of connections on loopback. */
final class Sockets {
    private Sockets() {}

    /**
     * How many bytes wait in the receive queue of the end at {@code localPort} of the connection to {@code remotePort},
     * as /proc/net/tcp tells; -1 if there is no such connection.
     */
    static int unreadBytes(int localPort, int remotePort) throws IOException {
        return queue(localPort, remotePort, 1);
    }

    /** How many bytes that the end at {@code localPort} has written are not acknowledged; -1 without a connection. */
    static int unsentBytes(int localPort, int remotePort) throws IOException {
        return queue(localPort, remotePort, 0);
    }

    private static int queue(int localPort, int remotePort, int column) throws IOException {
        String local = String.format(Locale.ROOT, ":%04X", localPort);
        String remote = String.format(Locale.ROOT, ":%04X", remotePort);
        for (String table : new String[] {"/proc/net/tcp", "/proc/net/tcp6"}) {
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] columns = line.strip().split("\\s+");
                if (columns[1].endsWith(local) && columns[2].endsWith(remote)) {
                    return Integer.parseInt(columns[4].split(":")[column], 16);
                }
            }
        }
        return -1;
    }
}
