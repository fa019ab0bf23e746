import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/** A client's connection to a gateway. */
final class Client implements Closeable {
    private static final AtomicLong IDS = new AtomicLong(0x9b1f03aa5c7e0000L);

    private final Socket socket;
    private final InputStream in;

    Client(int port) throws IOException {
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
    }

    static String newTxn() {
        return Long.toHexString(IDS.incrementAndGet());
    }

    /**
     * A whole request in bytes. The query repeats the size, so that a node can tell it: X-Placement is not passed on.
     */
    static byte[] request(
            String method, String requestClass, String txn, int shard, int units, int remainingMs, int hosts, int bodyBytes) {
        String head = method + " /" + requestClass + "/00000003b4d6002" + (shard < 0 ? "f" : shard) + "/" + key(txn) + "?units=" + units
                + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + txn + "\r\nX-Qos-Policy: priority\r\nX-Remaining-Ms: "
                + remainingMs + "\r\nX-Placement: units=" + units + ",shard=" + shard + ",hosts=" + hosts + "\r\n"
                + (method.equals("PUT")
                        ? "Idempotency-Key: key-" + txn + "\r\nContent-Length: " + bodyBytes + "\r\n"
                        : "")
                + "\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
        byte[] whole = new byte[headBytes.length + (method.equals("PUT") ? bodyBytes : 0)];
        System.arraycopy(headBytes, 0, whole, 0, headBytes.length);
        for (int i = headBytes.length; i < whole.length; i++) {
            whole[i] = (byte) ('a' + i % 26);
        }
        return whole;
    }

    private static String key(String txn) {
        return String.format(Locale.ROOT, "%16s", txn).replace(' ', '0');
    }

    static double unitsOfTarget(String target) {
        int at = target.indexOf("units=");
        return at < 0 ? 1 : Double.parseDouble(target.substring(at + 6).split("[&#]")[0]);
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    void send(String text) throws IOException {
        send(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads an answer; null if the connection has ended. */
    Message read() throws IOException {
        return Message.read(in);
    }

    void setTimeout(int ms) throws IOException {
        socket.setSoTimeout(ms);
    }

    int localPort() {
        return socket.getLocalPort();
    }

    Socket socket() {
        return socket;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
