package petrelstand.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import petrelstand.config.IniFile;
import petrelstand.config.OperatorConfig;
import petrelstand.core.Counters;
import petrelstand.core.LoopMonitor;
import petrelstand.core.Timers;
import petrelstand.members.MemberState;
import petrelstand.testing.BrokerFixture;

/** Guards against a fleet service that learns of a stall of the loop only at its own next tick. */
class FleetServiceStallTest {
    private static final long SECOND_US = 1_000_000;

    @TempDir
    Path folder;

    private long nowUs = SECOND_US;
    private final Timers timers = new Timers();
    private final LoopMonitor monitor = new LoopMonitor();
    private final List<String> lines = new CopyOnWriteArrayList<>();

    private FleetService start(String... settings) throws Exception {
        Path key = Files.writeString(folder.resolve("fleet.key"), "00112233445566778899aabbccddeeff\n");
        Files.setPosixFilePermissions(key, PosixFilePermissions.fromString("rw-------"));
        OperatorConfig operator = OperatorConfig.load(
                new IniFile(
                        folder.resolve("p.ini"),
                        "[fleet]\nname = charts\nlisten = 127.0.0.1:0\nadvertise = 127.0.0.1:1\nkey = fleet.key\n"
                                + String.join("\n", settings)),
                new BrokerFixture().settings,
                Files::readString);
        FleetService service = new FleetService(
                operator.fleet(), "g", 1, timers, () -> nowUs, monitor, Runnable::run, new Counters(), lines::add);
        service.open();
        service.start();
        return service;
    }

    private void run(long durationUs) {
        for (long untilUs = nowUs + durationUs; nowUs < untilUs; ) {
            long dueUs = timers.nextDueUs();
            nowUs = dueUs;
            monitor.beginIteration(nowUs, dueUs);
            timers.runDue(nowUs);
        }
    }

    /** Guards against a line for operators whose prefix stands there twice. */
    @Test
    void fullDiskUnderTheHistoryIsLoggedOnce() throws Exception {
        start("history = /dev/full");
        run(SECOND_US);
        for (int i = 0; i < 1_000 && lines.stream().noneMatch(line -> line.contains("history")); i++) {
            Thread.sleep(5);
        }
        assertEquals(
                List.of("fleet: cannot write the history file, no more events are recorded: IOException"),
                lines.stream().filter(line -> line.contains("history")).toList());
    }

    @Test
    void lateIterationRejoinsBeforeAnyTimerRuns() throws Exception {
        FleetService service = start();
        run(SECOND_US);
        assertEquals(MemberState.ALIVE, service.membership().self().state());
        lines.clear();
        long dueUs = timers.nextDueUs();
        nowUs = dueUs + 8 * SECOND_US;
        monitor.beginIteration(nowUs, dueUs);
        assertEquals(MemberState.JOINING, service.membership().self().state());
        assertTrue(lines.get(0).contains("this process was paused for 8000 ms; rejoining the fleet"), "" + lines);
        timers.runDue(nowUs);
        run(SECOND_US);
        assertEquals(1, lines.stream().filter(line -> line.contains("paused")).count(), "noticed once: " + lines);
        assertEquals(MemberState.ALIVE, service.membership().self().state());
    }
}
