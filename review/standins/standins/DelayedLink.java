package standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;

/** A network between gateway and node: a proxy on a loopback address that passes bytes on after a fixed time. */
final class DelayedLink {
    /** Bytes and the time at which they are passed on; no bytes stand for the end of the stream. */
    private record Piece(byte[] bytes, long dueNs) {}

    private final ServerSocket server = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    private final long delayNs;

    DelayedLink(int nodePort, long delayNs) throws IOException {
        this.delayNs = delayNs;
        Threads.start("link", () -> {
            while (true) {
                Socket near = server.accept();
                Socket far = new Socket(InetAddress.getLoopbackAddress(), nodePort);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                pass(near, far);
                pass(far, near);
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    private void pass(Socket from, Socket to) {
        BlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();
        Threads.start("link in", () -> {
            try {
                InputStream in = from.getInputStream();
                byte[] buffer = new byte[64 * 1024];
                for (int n = in.read(buffer); n > 0; n = in.read(buffer)) {
                    pieces.add(new Piece(java.util.Arrays.copyOf(buffer, n), System.nanoTime() + delayNs));
                }
            } finally {
                pieces.add(new Piece(new byte[0], System.nanoTime() + delayNs));
            }
        });
        Threads.start("link out", () -> {
            OutputStream out = to.getOutputStream();
            for (Piece piece = pieces.take(); piece.bytes().length > 0; piece = pieces.take()) {
                waitUntil(piece.dueNs());
                out.write(piece.bytes());
            }
            to.close();
        });
    }

    /** Waits to within some microseconds. */
    static void waitUntil(long dueNs) {
        for (long leftNs = dueNs - System.nanoTime(); leftNs > 0; leftNs = dueNs - System.nanoTime()) {
            if (leftNs > 150_000) {
                LockSupport.parkNanos(leftNs - 100_000);
            } else {
                Thread.onSpinWait();
            }
        }
    }
}
