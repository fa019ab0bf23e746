import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** What a case runs in: a temporary folder, the record, discovery, storage nodes and gateways, all on loopback. */
final class Cluster implements AutoCloseable {
    /** Exit codes of this process; run.sh makes 0, 1 and 2 of them. The virtual machine itself may end with 1. */
    static final int HELD = 10;

    static final int BROKEN = 11;
    static final int COULD_NOT_RUN = 12;

    final Path root = Path.of("").toAbsolutePath();
    final Path folder = Files.createTempDirectory("review-2-");
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Recorder record;
    final Discovery discovery;
    final Settings settings = new Settings();
    final List<GatewayProcess> gateways = new ArrayList<>();

    private Cluster(Path recordFile) throws IOException {
        record = new Recorder(recordFile);
        discovery = new Discovery(record);
        record.line(trouble ? "with the disruption" : "TROUBLE=0: without the disruption");
    }

    interface Case {
        /** Returns whether the rule was broken. */
        boolean run(Cluster cluster) throws Exception;
    }

    /** Runs a case and ends this process with its exit code. The first argument is the case's folder. */
    static void run(String[] args, Case body) {
        int code = COULD_NOT_RUN;
        try (Cluster cluster = new Cluster(Path.of(args[0], "record.txt"))) {
            code = body.run(cluster) ? BROKEN : HELD;
            cluster.record.result(code == BROKEN ? "the rule was BROKEN" : "the rule held");
        } catch (Throwable e) {
            e.printStackTrace();
            code = COULD_NOT_RUN;
        }
        System.exit(code);
    }

    /** Starts the gateways of the settings' number and waits until all are ready. */
    void startGateways(Map<String, String> extra) throws IOException {
        for (int i = 0; i < settings.gateways; i++) {
            startGateway(i, extra);
        }
        for (GatewayProcess gateway : gateways) {
            if (!gateway.awaitReady()) {
                throw new IOException("a gateway did not become ready");
            }
        }
    }

    private void startGateway(int index, Map<String, String> extra) throws IOException {
        settings.index = index;
        String name = "n" + (index + 1);
        int port = GatewayProcess.freePort();
        gateways.add(new GatewayProcess(
                name,
                port,
                root,
                folder.resolve(name),
                settings.configJson(name, "127.0.0.1:" + port, discovery.address(), discovery.list()),
                extra,
                record));
    }

    @Override
    public void close() throws IOException {
        gateways.forEach(GatewayProcess::close);
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
