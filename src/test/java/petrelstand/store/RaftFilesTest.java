package petrelstand.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.RaftEndpoint;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import petrelstand.agreement.RegistryCommand;
import petrelstand.consensus.RaftFiles;

/** Crashes a simulated disk that loses, truncates and reorders unsynced writes: no flushed vote or entry is lost. */
class RaftFilesTest {
    private static final DefaultRaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final int WRITES = 70;

    private record Endpoint(String name) implements RaftEndpoint {
        @Override
        public Object getId() {
            return name;
        }
    }

    private static LogEntry entry(long index, int term) {
        return MODEL.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(term)
                .setOperation(new RegistryCommand.RegisterGateway("g" + index))
                .build();
    }

    /** The n-th write: every fifth is a vote, every seventh replaces several entries, the others replace one. */
    private static void write(RaftFiles files, int n) throws Exception {
        if (n == 1) {
            files.persistAndFlushLocalEndpoint(MODEL.createRaftEndpointPersistentStateBuilder()
                    .setLocalEndpoint(new Endpoint("a"))
                    .setVoting(true)
                    .build());
        } else if (n == 2) {
            Set<RaftEndpoint> members = Set.of(new Endpoint("a"), new Endpoint("b"));
            files.persistAndFlushInitialGroupMembers(MODEL.createRaftGroupMembersViewBuilder()
                    .setLogIndex(0)
                    .setMembers(members)
                    .setVotingMembers(members)
                    .build());
        } else if (n % 5 == 0) {
            files.persistAndFlushTerm(MODEL.createRaftTermPersistentStateBuilder()
                    .setTerm(n)
                    .setVotedFor(new Endpoint("b"))
                    .build());
        } else if (n % 7 == 0) {
            files.truncateLogEntriesFrom(n - 4);
            files.persistLogEntries(List.of(entry(n - 4, n), entry(n - 3, n), entry(n - 2, n)));
            files.flush();
        } else {
            files.truncateLogEntriesFrom(n - 2);
            files.persistLogEntries(List.of(entry(n - 2, n)));
            files.flush();
        }
    }

    private static String describeState(RaftFiles files) {
        RestoredRaftState restored = files.restoredState();
        if (restored == null) {
            return "nothing";
        }
        List<String> entries = new ArrayList<>();
        restored.getLogEntries().forEach(e -> entries.add(e.getIndex() + "/" + e.getTerm()));
        return restored.getTermPersistentState().getTerm() + " " + entries;
    }

    /** The state after each number of complete writes. */
    private static List<String> expectedStates() throws Exception {
        List<String> states = new ArrayList<>();
        SimFolder disk = new SimFolder();
        RaftFiles files = new RaftFiles(disk, line -> {});
        states.add(describeState(files));
        for (int n = 1; n <= WRITES; n++) {
            write(files, n);
            states.add(describeState(files));
        }
        return states;
    }

    @Test
    void crashAtAnyStepKeepsAllFlushedWrites() throws Exception {
        List<String> states = expectedStates();
        int checked = 0;
        boolean crashed = true;
        for (int cut = 0; crashed; cut++) {
            SimFolder disk = new SimFolder();
            disk.failBeforeStep = cut;
            int durable = 0;
            try {
                RaftFiles files = new RaftFiles(disk, line -> {});
                for (int n = 1; n <= WRITES; n++) {
                    write(files, n);
                    durable = n;
                }
                crashed = false;
            } catch (SimFolder.PowerLoss e) {
                // The states that the crash may have left are checked below.
            }
            int outcomes = disk.crashOutcomes();
            for (int subset = 0; subset < outcomes; subset += Math.max(1, outcomes / 16)) {
                for (int loss = 0; loss < SimFolder.LOSS_MODES; loss++) {
                    SimFolder found = disk.afterCrash(subset, loss);
                    RaftFiles files = new RaftFiles(found, line -> {});
                    String recovered = describeState(files);
                    assertTrue(
                            recovered.equals(states.get(durable))
                                    || durable < WRITES && recovered.equals(states.get(durable + 1)),
                            "cut " + cut + ", subset " + subset + ", loss " + loss + ": " + recovered + " after write "
                                    + durable);
                    // The recovered files accept further writes and can be read again.
                    files.persistAndFlushTerm(MODEL.createRaftTermPersistentStateBuilder()
                            .setTerm(1000)
                            .setVotedFor(null)
                            .build());
                    assertEquals(files.generation(), new RaftFiles(found, line -> {}).generation());
                    checked++;
                }
            }
        }
        assertTrue(checked > 1_000, checked + " disk states were checked");
    }

    @Test
    void damagedOrMissingFileIsRefusedAndTruncatedLastIsDeleted() throws Exception {
        SimFolder disk = new SimFolder();
        RaftFiles files = new RaftFiles(disk, line -> {});
        for (int n = 1; n <= 12; n++) {
            write(files, n);
        }
        byte[] middle = disk.read("vote-000000000005", 10_000);
        for (int at = 0; at < middle.length; at++) {
            byte[] damaged = middle.clone();
            damaged[at] ^= 0x40;
            SimFolder found = disk.afterCrash(0, 0);
            found.delete("vote-000000000005");
            found.create("vote-000000000005", damaged);
            FileFormatException fault = assertThrows(FileFormatException.class, () -> new RaftFiles(found, line -> {}));
            assertTrue(fault.getMessage().contains("vote-000000000005: "), fault.getMessage());
        }
        SimFolder gap = disk.afterCrash(0, 0);
        gap.delete("vote-000000000005");
        assertTrue(assertThrows(FileFormatException.class, () -> new RaftFiles(gap, line -> {}))
                .getMessage()
                .contains("a file before vote-000000000006 is missing"));
        SimFolder torn = disk.afterCrash(0, 0);
        byte[] last = torn.read("vote-000000000012", 10_000);
        torn.delete("vote-000000000012");
        torn.create("vote-000000000012", java.util.Arrays.copyOf(last, last.length - 3));
        List<String> lines = new ArrayList<>();
        assertEquals(11, new RaftFiles(torn, lines::add).generation());
        assertTrue(lines.get(0).startsWith("vote-000000000012 was not finished"), lines.toString());
    }
}
