package petrelstand.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import petrelstand.decision.Policy;
import petrelstand.decision.Scheduling.AttemptEnd;
import petrelstand.decision.Scheduling.HostActions;
import petrelstand.decision.Scheduling.LearnedState;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeListKind;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.decision.Scheduling.Request;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.state.Snapshot;
import petrelstand.store.SnapshotFormat;

/** What a snapshot costs the loop, and its encoding the keeper's thread, in real time, for a module of a given size. */
public final class CaptureCost {
    private CaptureCost() {}

    /** Fills a module with nodes and volumes that have served, takes snapshots, and says what they cost. */
    public static String measure(int nodes, int volumes, int times) {
        Settings settings = Scenario.of(new petrelstand.config.IniFile(
                        java.nio.file.Path.of("capture.ini"),
                        "[world]\nnodes = " + Math.min(1000, nodes) + "\n[restart]\nages = 1 s\n"))
                .settings(0);
        List<long[]> sent = new ArrayList<>();
        Policy policy = new Policy(1e6, settings, 1, new HostActions() {
            @Override
            public void send(long request, long node, double timeoutMs) {
                sent.add(new long[] {request, node});
            }

            @Override
            public void refuse(long request, double retryAfterMs) {}

            @Override
            public void fail(long request) {}

            @Override
            public void cancel(long request, int attempt) {}

            @Override
            public void probe(long node) {}

            @Override
            public void setTimer(double atMs, long token) {}

            @Override
            public void subscribeToNodes() {}

            @Override
            public void sendPeerMessage(int recipient, byte[] message) {}
        });
        List<NodeEntry> listed = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            listed.add(new NodeEntry(i + 1, 0, i, NodeState.READY, 1, 0));
        }
        policy.nodesListed(1e6, NodeListKind.FULL, listed);
        double now = 1e6;
        int asked = Math.max(volumes, 4 * nodes);
        for (int i = 0; i < asked; i++) {
            now += 0.5;
            policy.requestReceived(
                    now, new Request(i + 1, 0, i % 2, i, 1500, i % volumes, 2, i % nodes, 1, false, false));
            for (long[] one : sent) {
                policy.attemptEnded(
                        now + 0.2, new AttemptEnd(one[0], 0, Outcome.SERVED, 20, one[1], 0, 0, true, List.of()));
            }
            sent.clear();
        }
        Histogram capture = new Histogram(10_000_000_000L, 3);
        Histogram encode = new Histogram(10_000_000_000L, 3);
        LearnedState learned = LearnedState.empty(now);
        int bytes = 0;
        for (int i = 0; i < times; i++) {
            long began = System.nanoTime();
            learned = policy.learnedState(now);
            long taken = System.nanoTime();
            bytes = SnapshotFormat.encode(new Snapshot("n1", 1, i + 1, 1, false, learned)).length;
            capture.recordValue(taken - began);
            encode.recordValue(System.nanoTime() - taken);
        }
        return String.format(
                Locale.ROOT,
                "%d nodes, %d volumes, %d bytes, %d times: capture median %.2f ms, p99 %.2f ms,"
                        + " first %.1f ms at most; encoding median %.2f ms, p99 %.2f ms",
                learned.nodes().size(),
                learned.volumes().size(),
                bytes,
                times,
                capture.getValueAtPercentile(50) / 1e6,
                capture.getValueAtPercentile(99) / 1e6,
                capture.getMaxValue() / 1e6,
                encode.getValueAtPercentile(50) / 1e6,
                encode.getValueAtPercentile(99) / 1e6);
    }
}
