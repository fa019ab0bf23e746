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

/** A voter's files on a disk that loses, tears and reorders what was not synced: no vote and no entry is forgotten. */
class VoteFilesTest {
    private static final DefaultRaftModelFactory MODEL = new DefaultRaftModelFactory();
    private static final int WRITES = 70;

    private record Name(String name) implements RaftEndpoint {
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

    /** The n-th write: a vote each fifth time, entries in between, now and then entries that replace others. */
    private static void write(RaftFiles files, int n) throws Exception {
        if (n == 1) {
            files.persistAndFlushLocalEndpoint(MODEL.createRaftEndpointPersistentStateBuilder()
                    .setLocalEndpoint(new Name("a"))
                    .setVoting(true)
                    .build());
        } else if (n == 2) {
            Set<RaftEndpoint> all = Set.of(new Name("a"), new Name("b"));
            files.persistAndFlushInitialGroupMembers(MODEL.createRaftGroupMembersViewBuilder()
                    .setLogIndex(0)
                    .setMembers(all)
                    .setVotingMembers(all)
                    .build());
        } else if (n % 5 == 0) {
            files.persistAndFlushTerm(MODEL.createRaftTermPersistentStateBuilder()
                    .setTerm(n)
                    .setVotedFor(new Name("b"))
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

    private static String state(RaftFiles files) {
        RestoredRaftState restored = files.restoredState();
        if (restored == null) {
            return "nothing";
        }
        List<String> entries = new ArrayList<>();
        restored.getLogEntries().forEach(e -> entries.add(e.getIndex() + "/" + e.getTerm()));
        return restored.getTermPersistentState().getTerm() + " " + entries;
    }

    /** What the store holds after each whole write. */
    private static List<String> states() throws Exception {
        List<String> states = new ArrayList<>();
        SimFolder disk = new SimFolder();
        RaftFiles files = new RaftFiles(disk, line -> {});
        states.add(state(files));
        for (int n = 1; n <= WRITES; n++) {
            write(files, n);
            states.add(state(files));
        }
        return states;
    }

    @Test
    void aCutAtAnyStepLeavesTheLastWriteOrTheOneBefore() throws Exception {
        List<String> states = states();
        int tried = 0;
        boolean goesOn = true;
        for (int cut = 0; goesOn; cut++) {
            SimFolder disk = new SimFolder();
            disk.cutBefore = cut;
            int durable = 0;
            try {
                RaftFiles files = new RaftFiles(disk, line -> {});
                for (int n = 1; n <= WRITES; n++) {
                    write(files, n);
                    durable = n;
                }
                goesOn = false;
            } catch (SimFolder.Cut e) {
                // The disk is looked at below.
            }
            int outcomes = disk.outcomes();
            for (int subset = 0; subset < outcomes; subset += Math.max(1, outcomes / 16)) {
                for (int loss = 0; loss < SimFolder.LOSSES; loss++) {
                    SimFolder found = disk.after(subset, loss);
                    RaftFiles files = new RaftFiles(found, line -> {});
                    String now = state(files);
                    assertTrue(
                            now.equals(states.get(durable)) || durable < WRITES && now.equals(states.get(durable + 1)),
                            "cut " + cut + ", subset " + subset + ", loss " + loss + ": " + now + " after write "
                                    + durable);
                    // And it can be written on from there, and read again.
                    files.persistAndFlushTerm(MODEL.createRaftTermPersistentStateBuilder()
                            .setTerm(1000)
                            .setVotedFor(null)
                            .build());
                    assertEquals(files.generation(), new RaftFiles(found, line -> {}).generation());
                    tried++;
                }
            }
        }
        assertTrue(tried > 1_000, tried + " ways were tried");
    }

    @Test
    void aDamagedMiddleAndAGapAreRefusedAndATornEndIsLeftOut() throws Exception {
        SimFolder disk = new SimFolder();
        RaftFiles files = new RaftFiles(disk, line -> {});
        for (int n = 1; n <= 12; n++) {
            write(files, n);
        }
        byte[] middle = disk.read("vote-000000000005", 10_000);
        for (int at = 0; at < middle.length; at++) {
            byte[] bad = middle.clone();
            bad[at] ^= 0x40;
            SimFolder found = disk.after(0, 0);
            found.delete("vote-000000000005");
            found.create("vote-000000000005", bad);
            StateFault fault = assertThrows(StateFault.class, () -> new RaftFiles(found, line -> {}));
            assertTrue(fault.getMessage().contains("vote-000000000005: "), fault.getMessage());
        }
        SimFolder gap = disk.after(0, 0);
        gap.delete("vote-000000000005");
        assertTrue(assertThrows(StateFault.class, () -> new RaftFiles(gap, line -> {}))
                .getMessage()
                .contains("a file before vote-000000000006 is missing"));
        SimFolder torn = disk.after(0, 0);
        byte[] last = torn.read("vote-000000000012", 10_000);
        torn.delete("vote-000000000012");
        torn.create("vote-000000000012", java.util.Arrays.copyOf(last, last.length - 3));
        List<String> lines = new ArrayList<>();
        assertEquals(11, new RaftFiles(torn, lines::add).generation());
        assertTrue(lines.get(0).startsWith("vote-000000000012 was not finished"), lines.toString());
    }
}
