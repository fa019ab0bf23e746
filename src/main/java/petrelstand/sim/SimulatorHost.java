package petrelstand.sim;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import petrelstand.config.SettingsReader;
import petrelstand.decision.Policy;
import petrelstand.decision.Scheduling.AttemptEnd;
import petrelstand.decision.Scheduling.HostActions;
import petrelstand.decision.Scheduling.HostEvents;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeListKind;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.decision.Scheduling.Request;

/**
 * Runs the decision module under the simulator. Each event of a batch goes to the policy of its instance, a simulated
 * gateway; the actions of all instances are sent as one reply per batch.
 */
public final class SimulatorHost implements SimulatorCodec.EventHandler {
    private final SimulatorCodec codec = new SimulatorCodec();
    private final Map<Long, HostEvents> instances = new HashMap<>();
    private double nowMs;
    /** Requests that were sent while the current event was handled. */
    private final List<Long> sentRequests = new ArrayList<>();

    /** Reads batches and writes replies until the input ends. */
    public void run(InputStream input, OutputStream output) throws IOException {
        for (SimulatorCodec.Batch batch = codec.read(input); batch != null; batch = codec.read(input)) {
            nowMs = batch.clockMs();
            codec.decode(batch, this);
            codec.flush(output);
        }
    }

    @Override
    public void instanceStarted(long instance, long seed, String settings) {
        try {
            instances.put(instance, new Policy(nowMs, SettingsReader.parse(settings), seed, new WireActions(instance)));
        } catch (IllegalArgumentException e) {
            throw new SimulatorProtocolException("settings: " + e.getMessage());
        }
    }

    @Override
    public void instanceStopped(long instance) {
        instances.remove(instance);
    }

    @Override
    public void nodesListed(long instance, NodeListKind kind, List<NodeEntry> entries) {
        dispatch(instance, policy -> policy.nodesListed(nowMs, kind, entries));
    }

    @Override
    public void requestReceived(long instance, Request request) {
        dispatch(instance, policy -> policy.requestReceived(nowMs, request));
    }

    @Override
    public void streamStarted(long instance, long request, int attempt) {
        dispatch(instance, policy -> policy.streamStarted(nowMs, request, attempt));
    }

    @Override
    public void attemptEnded(long instance, AttemptEnd end) {
        dispatch(instance, policy -> policy.attemptEnded(nowMs, end));
    }

    @Override
    public void clientGone(long instance, long request) {
        dispatch(instance, policy -> policy.clientGone(nowMs, request));
    }

    @Override
    public void probeEnded(long instance, long node, double elapsedMs, Outcome outcome, List<Double> load) {
        dispatch(instance, policy -> policy.probeEnded(nowMs, node, elapsedMs, outcome, load));
    }

    @Override
    public void timerFired(long instance, long token) {
        dispatch(instance, policy -> policy.timerFired(nowMs, token));
    }

    @Override
    public void peerMessageReceived(long instance, int sender, byte[] message) {
        dispatch(instance, policy -> policy.peerMessageReceived(nowMs, sender, message));
    }

    /** Passes an event to a running instance; an exception of its policy is reported to the simulator. */
    private void dispatch(long instance, Consumer<HostEvents> event) {
        HostEvents policy = instances.get(instance);
        if (policy == null) {
            return;
        }
        try {
            event.accept(policy);
            confirmWritten(policy);
        } catch (SimulatorProtocolException | UncheckedIOException e) {
            throw e;
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            String where = trace.length == 0 ? "" : " at " + trace[0];
            write(() -> codec.reportFault(instance, e + where));
        }
    }

    /** The simulator delivers a request to its node at once, so each sent request counts as written. */
    private void confirmWritten(HostEvents policy) {
        List<Long> written = List.copyOf(sentRequests);
        sentRequests.clear();
        written.forEach(request -> policy.requestWritten(nowMs, request));
    }

    private interface WriteAction {
        void run() throws IOException;
    }

    private static void write(WriteAction action) {
        try {
            action.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Adds one instance's actions to the reply. */
    private final class WireActions implements HostActions {
        private final long instance;

        WireActions(long instance) {
            this.instance = instance;
        }

        @Override
        public void send(long request, long node, double timeoutMs) {
            sentRequests.add(request);
            write(() -> codec.send(instance, request, node, timeoutMs));
        }

        @Override
        public void refuse(long request, double retryAfterMs) {
            write(() -> codec.refuse(instance, request, retryAfterMs));
        }

        @Override
        public void fail(long request) {
            write(() -> codec.fail(instance, request));
        }

        @Override
        public void cancel(long request, int attempt) {
            write(() -> codec.cancel(instance, request, attempt));
        }

        @Override
        public void probe(long node) {
            write(() -> codec.probe(instance, node));
        }

        @Override
        public void setTimer(double atMs, long token) {
            write(() -> codec.setTimer(instance, atMs, token));
        }

        @Override
        public void subscribeToNodes() {
            write(() -> codec.subscribeToNodes(instance));
        }

        @Override
        public void sendPeerMessage(int recipient, byte[] message) {
            write(() -> codec.sendPeerMessage(instance, recipient, message));
        }
    }
}
