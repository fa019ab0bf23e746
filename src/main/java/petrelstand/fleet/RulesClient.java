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
import petrelstand.consensus.Wire;
import petrelstand.net.SocketAddresses;

/**
 * Proposes and orders from outside, with the fleet's key: asks the gateways at the addresses that it knows, one of
 * which leads or passes it on. Asks again until an answer comes; the same proposal twice is one version. For one
 * thread.
 */
public final class RulesClient implements Closeable {
    private static final String NAME = "asker";
    private static final int AGAIN_MS = 200;

    private final String fleet;
    private final List<InetSocketAddress> gateways;
    private final Seal seal;
    private final DatagramSocket socket;
    private final String own;

    /** Speaks from a free port of an address by which the gateways reach this machine. */
    public RulesClient(String fleet, List<byte[]> keys, List<String> gateways, String own) throws IOException {
        this.fleet = fleet;
        this.gateways = gateways.stream().map(SocketAddresses::parse).toList();
        this.seal = new Seal(keys);
        this.socket = new DatagramSocket(0, InetAddress.getByName(own));
        this.own = own + ":" + socket.getLocalPort();
    }

    /**
     * Proposes a text on a base; waits so long for the answer.
     *
     * @return the version, or the fault; null where nobody who leads answered in time: it may have been taken
     */
    public RulesMessage.RequestAnswer propose(long base, String who, String why, String text, long patienceMs)
            throws IOException {
        List<String> pieces = RegistryCommand.splitIntoPieces(text);
        long id = new SecureRandom().nextLong();
        long wallMs = System.currentTimeMillis();
        long untilNs = System.nanoTime() + patienceMs * 1_000_000;
        int next = 0;
        while (System.nanoTime() < untilNs) {
            RulesMessage.RequestAnswer taken = ask(
                    new RulesMessage.ProposalPiece(id, base, who, why, wallMs, next, pieces.size(), pieces.get(next)),
                    id);
            if (taken != null && taken.nextPiece() < 0) {
                return taken;
            }
            next = taken == null || taken.nextPiece() >= pieces.size() ? 0 : taken.nextPiece();
        }
        return null;
    }

    /** Orders; the answer, or null where nobody who leads answered in time. */
    public RulesMessage.RequestAnswer order(
            String verb, long version, String name, String who, String why, long patienceMs) throws IOException {
        long id = new SecureRandom().nextLong();
        long untilNs = System.nanoTime() + patienceMs * 1_000_000;
        while (System.nanoTime() < untilNs) {
            RulesMessage.RequestAnswer taken =
                    ask(new RulesMessage.AdminRequest(id, verb, version, name, who, why), id);
            if (taken != null) {
                return taken;
            }
        }
        return null;
    }

    private RulesMessage.RequestAnswer ask(RulesMessage talk, long id) throws IOException {
        byte[] datagram = seal.close(Seal.RULES, Wire.encode(new Envelope(fleet, NAME, own, 0, 0, null, talk)));
        for (InetSocketAddress gateway : gateways) {
            try {
                socket.send(new DatagramPacket(datagram, datagram.length, gateway));
            } catch (IOException e) {
                // One that is not there refuses; the others are asked all the same.
            }
        }
        byte[] buffer = new byte[Seal.MOST + 1];
        long untilNs = System.nanoTime() + AGAIN_MS * 1_000_000L;
        for (long leftMs = AGAIN_MS; leftMs > 0; leftMs = (untilNs - System.nanoTime()) / 1_000_000) {
            socket.setSoTimeout((int) leftMs);
            DatagramPacket answer = new DatagramPacket(buffer, buffer.length);
            try {
                socket.receive(answer);
                Envelope parcel = Wire.decode(seal.open(ByteBuffer.wrap(buffer, 0, answer.getLength())));
                if (parcel.rulesMessage() instanceof RulesMessage.RequestAnswer taken && taken.id() == id) {
                    return taken;
                }
            } catch (SocketTimeoutException e) {
                return null;
            } catch (IOException | Seal.Refused e) {
                // Not an answer; the next one may be.
            }
        }
        return null;
    }

    @Override
    public void close() {
        socket.close();
    }
}
