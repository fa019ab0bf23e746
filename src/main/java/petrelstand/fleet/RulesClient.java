package petrelstand.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.List;
import petrelstand.agreement.RegistryCommand;
import petrelstand.agreement.RulesMessage;
import petrelstand.consensus.Envelope;
import petrelstand.consensus.WireCodec;
import petrelstand.net.SocketAddresses;

/**
 * Sends rule proposals and orders to a fleet from outside, authenticated by the fleet's key. Each request goes to all
 * known gateways; the leader answers it, and others forward it to the leader. Requests are repeated until an answer
 * comes or the time is over; a repeated proposal results in one version. Not thread-safe.
 */
public final class RulesClient implements Closeable {
    private static final String SENDER_NAME = "asker";
    private static final int RETRY_INTERVAL_MS = 200;

    private final String fleet;
    private final List<InetSocketAddress> gateways;
    private final DatagramAuthenticator authenticator;
    private final DatagramSocket socket;
    private final String ownAddress;

    /**
     * Opens a socket on a free port.
     *
     * @param fleet name of the fleet
     * @param keys the fleet's keys; the first one signs the requests
     * @param gateways addresses of the gateways to ask, ip:port
     * @param ownHost IP address by which the gateways reach this machine
     */
    public RulesClient(String fleet, List<byte[]> keys, List<String> gateways, String ownHost) throws IOException {
        this.fleet = fleet;
        this.gateways = gateways.stream().map(SocketAddresses::parse).toList();
        this.authenticator = new DatagramAuthenticator(keys);
        this.socket = new DatagramSocket(0, InetAddress.getByName(ownHost));
        this.ownAddress = ownHost + ":" + socket.getLocalPort();
    }

    /**
     * Proposes a text of rules that replaces the version {@code base}.
     *
     * @return the new version or the fault; null if no leader answered in time, though the proposal may have been taken
     */
    public RulesMessage.RequestAnswer propose(long base, String who, String why, String text, long timeoutMs)
            throws IOException {
        List<String> pieces = RegistryCommand.splitIntoPieces(text);
        long requestId = new SecureRandom().nextLong();
        long wallMs = System.currentTimeMillis();
        long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000;
        int nextPiece = 0;
        while (System.nanoTime() < deadlineNs) {
            RulesMessage.RequestAnswer reply = sendAndAwaitReply(
                    new RulesMessage.ProposalPiece(
                            requestId, base, who, why, wallMs, nextPiece, pieces.size(), pieces.get(nextPiece)),
                    requestId);
            if (reply != null && reply.nextPiece() < 0) {
                return reply;
            }
            nextPiece = reply == null || reply.nextPiece() >= pieces.size() ? 0 : reply.nextPiece();
        }
        return null;
    }

    /**
     * Sends an order to the leader.
     *
     * @return the answer, or null if no leader answered in time
     */
    public RulesMessage.RequestAnswer order(
            String verb, long version, String name, String who, String why, long timeoutMs) throws IOException {
        long requestId = new SecureRandom().nextLong();
        long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < deadlineNs) {
            RulesMessage.RequestAnswer reply = sendAndAwaitReply(
                    new RulesMessage.AdminRequest(requestId, verb, version, name, who, why), requestId);
            if (reply != null) {
                return reply;
            }
        }
        return null;
    }

    private RulesMessage.RequestAnswer sendAndAwaitReply(RulesMessage request, long requestId) throws IOException {
        byte[] datagram = authenticator.sign(
                DatagramAuthenticator.RULES_MAGIC,
                WireCodec.encode(new Envelope(fleet, SENDER_NAME, ownAddress, 0, 0, null, request)));
        for (InetSocketAddress gateway : gateways) {
            try {
                socket.send(new DatagramPacket(datagram, datagram.length, gateway));
            } catch (IOException e) {
                // This gateway is down; the others are still asked.
            }
        }
        byte[] buffer = new byte[DatagramAuthenticator.MAX_DATAGRAM_BYTES + 1];
        long deadlineNs = System.nanoTime() + RETRY_INTERVAL_MS * 1_000_000L;
        for (long remainingMs = RETRY_INTERVAL_MS;
                remainingMs > 0;
                remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000) {
            socket.setSoTimeout((int) remainingMs);
            DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
            try {
                socket.receive(packet);
                Envelope parcel =
                        WireCodec.decode(authenticator.verify(ByteBuffer.wrap(buffer, 0, packet.getLength())));
                if (parcel.rulesMessage() instanceof RulesMessage.RequestAnswer reply && reply.id() == requestId) {
                    return reply;
                }
            } catch (SocketTimeoutException e) {
                return null;
            } catch (IOException | DatagramAuthenticator.RefusedDatagramException e) {
                // Not a valid answer; waits for the next datagram.
            }
        }
        return null;
    }

    @Override
    public void close() {
        socket.close();
    }
}
