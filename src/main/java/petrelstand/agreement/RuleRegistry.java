package petrelstand.agreement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The versions that are agreed on: the state that the voters' log leads to, the same at each voter after the same
 * commands. At most one version waits beside the one that is acted on. Bounded: {@link #MAX_VERSIONS} versions,
 * {@link #MAX_PROPOSALS} proposals under way, {@link #MAX_GATEWAYS} gateways.
 */
public final class RuleRegistry {
    /** Versions kept with their texts. */
    public static final int MAX_VERSIONS = 16;
    /** A version's number is its epoch times this, and its place in the epoch. */
    public static final long VERSIONS_PER_EPOCH = 1_000_000;
    /** Of an epoch's number the part that is drawn. */
    public static final int TAGS_PER_EPOCH_NUMBER = 1000;

    static final int MAX_PROPOSALS = 4;
    static final int MAX_GATEWAYS = 1024;

    /** What a version is. */
    public enum State {
        WAITS,
        ACTED_ON,
        PAST,
        WITHDRAWN
    }

    /** A version: who proposed it, when, why, on which base. */
    public record Version(
            long number,
            long base,
            String author,
            String reason,
            long wallMs,
            State state,
            List<RegistryCommand.PlanLimit> limits,
            String text) {
        public Version {
            limits = List.copyOf(limits);
        }

        Version withState(State changed) {
            return new Version(number, base, author, reason, wallMs, changed, limits, text);
        }
    }

    /** The answer to a command: the version that it made, or the one line why not. */
    public record Result(long version, String error) {}

    private final TreeMap<Long, Version> versions = new TreeMap<>();
    private final LinkedHashMap<Long, String[]> proposals = new LinkedHashMap<>();
    private final TreeSet<String> gatewayNames = new TreeSet<>();
    private final TreeMap<String, Long> reservedFloors = new TreeMap<>();
    private long active;
    private long pending;
    private long newest;

    /** The version that is acted on; 0 where there is none yet. */
    public long active() {
        return active;
    }

    /** The epoch of a version: another one after each recovery by the operator. */
    public static long epoch(long version) {
        return version / VERSIONS_PER_EPOCH;
    }

    /** The version that waits until all that act on the one before have confirmed it; 0 where none does. */
    public long pending() {
        return pending;
    }

    /** The highest number given; a proposal's base. */
    public long newest() {
        return newest;
    }

    /** Kept versions by number. */
    public Map<Long, Version> versions() {
        return Collections.unmodifiableMap(versions);
    }

    /** Gateways that may act on some version, or on the floors of one. */
    public java.util.Set<String> gatewayNames() {
        return Collections.unmodifiableSet(gatewayNames);
    }

    /** By plan, the highest floor that a gateway which is cut off may still act on. */
    public Map<String, Long> reservedFloors() {
        return Collections.unmodifiableMap(reservedFloors);
    }

    /** Applies a command. */
    public Result apply(RegistryCommand command) {
        if (command instanceof RegistryCommand.AddPiece part) {
            return part(part);
        } else if (command instanceof RegistryCommand.Propose propose) {
            return propose(propose);
        } else if (command instanceof RegistryCommand.Activate activate) {
            return activate(activate);
        } else if (command instanceof RegistryCommand.Withdraw withdraw) {
            return withdraw(withdraw);
        } else if (command instanceof RegistryCommand.RegisterGateway register) {
            return gatewayNames.contains(register.name())
                            || gatewayNames.size() < MAX_GATEWAYS && gatewayNames.add(register.name())
                    ? new Result(newest, "")
                    : new Result(newest, "no room for more than " + MAX_GATEWAYS + " gateways");
        } else if (command instanceof RegistryCommand.ForgetGateway forget) {
            return gatewayNames.remove(forget.name())
                    ? new Result(newest, "")
                    : new Result(newest, forget.name() + " is not known");
        }
        return new Result(newest, "");
    }

    private Result part(RegistryCommand.AddPiece part) {
        if (part.pieceCount() < 1
                || part.pieceCount() > RegistryCommand.MAX_PIECES
                || part.pieceIndex() < 0
                || part.pieceIndex() >= part.pieceCount()) {
            return new Result(newest, "a text of more than " + RegistryCommand.MAX_TEXT_CHARS + " characters");
        }
        String[] pieces = proposals.get(part.proposalId());
        if (pieces == null || pieces.length != part.pieceCount()) {
            pieces = new String[part.pieceCount()];
            proposals.remove(part.proposalId());
            if (proposals.size() >= MAX_PROPOSALS) {
                proposals.remove(proposals.keySet().iterator().next());
            }
            proposals.put(part.proposalId(), pieces);
        }
        pieces[part.pieceIndex()] = part.text();
        return new Result(newest, "");
    }

    private Result propose(RegistryCommand.Propose propose) {
        for (Version version : versions.values()) {
            // The answer was lost, and the proposer asks again.
            if (version.wallMs() == propose.wallMs()
                    && version.author().equals(propose.author())
                    && version.base() == propose.base()
                    && version.reason().equals(propose.reason())) {
                proposals.remove(propose.proposalId());
                return new Result(version.number(), "");
            }
        }
        String[] pieces = proposals.get(propose.proposalId());
        if (pieces == null
                || pieces.length != propose.pieceCount()
                || Arrays.asList(pieces).contains(null)) {
            return new Result(newest, "the text did not come whole; propose it again");
        }
        if (propose.base() != newest) {
            return new Result(newest, "it is based on version " + propose.base() + ", and the newest is " + newest);
        }
        if (pending != 0) {
            return new Result(newest, "version " + pending + " is still on its way; wait, or withdraw it");
        }
        for (RegistryCommand.PlanLimit figure : propose.limits()) {
            long mark = reservedFloors.getOrDefault(figure.plan(), 0L);
            if (figure.units() < mark) {
                return new Result(
                        newest,
                        "limit " + figure.plan() + ": units " + figure.units() + " is below " + mark
                                + ", the floor that gateways which are cut off may act on; lower the floor first");
            }
        }
        proposals.remove(propose.proposalId());
        pending = ++newest;
        versions.put(
                pending,
                new Version(
                        pending,
                        propose.base(),
                        propose.author(),
                        propose.reason(),
                        propose.wallMs(),
                        State.WAITS,
                        propose.limits(),
                        String.join("", pieces)));
        while (versions.size() > MAX_VERSIONS) {
            versions.remove(versions.keySet().stream()
                    .filter(v -> v != active && v != pending)
                    .findFirst()
                    .orElseThrow());
        }
        return new Result(pending, "");
    }

    private Result activate(RegistryCommand.Activate activate) {
        if (activate.version() != pending || pending == 0) {
            return new Result(active, "version " + activate.version() + " does not wait");
        }
        if (active != 0) {
            versions.computeIfPresent(active, (n, v) -> v.withState(State.PAST));
        }
        active = pending;
        pending = 0;
        Version now = versions.get(active).withState(State.ACTED_ON);
        versions.put(active, now);
        // Whoever has not confirmed this version may be cut off, and act on the floors of any before.
        if (activate.confirmedNamesHash() != 0 && activate.confirmedNamesHash() == hash(gatewayNames)) {
            reservedFloors.clear();
        }
        now.limits().forEach(figure -> reservedFloors.merge(figure.plan(), figure.floor(), Math::max));
        return new Result(active, "");
    }

    /** A number of a set of names, never 0. */
    static long hash(java.util.SortedSet<String> of) {
        long print = 1;
        for (String name : of) {
            for (int i = 0; i < name.length(); i++) {
                print = print * 1_000_003 + name.charAt(i);
            }
            print = print * 31 + 7;
        }
        return print | 1L << 62;
    }

    long gatewayNamesHash() {
        return hash(gatewayNames);
    }

    private Result withdraw(RegistryCommand.Withdraw withdraw) {
        if (withdraw.version() != pending || pending == 0) {
            return new Result(newest, "version " + withdraw.version() + " does not wait");
        }
        Version old = versions.get(pending);
        versions.put(
                pending,
                new Version(
                        old.number(),
                        old.base(),
                        old.author(),
                        old.reason() + "; withdrawn by " + withdraw.author() + ": " + withdraw.reason(),
                        old.wallMs(),
                        State.WITHDRAWN,
                        old.limits(),
                        old.text()));
        pending = 0;
        return new Result(newest, "");
    }

    // ---- Whole, for snapshots ----

    /** Everything, as a value that another book can begin with. */
    public record Snapshot(
            long active,
            long pending,
            long newest,
            List<Version> versions,
            List<String> gatewayNames,
            Map<String, Long> reservedFloors,
            Map<Long, List<String>> proposals) {}

    public Snapshot snapshot() {
        Map<Long, List<String>> under = new LinkedHashMap<>();
        proposals.forEach((id, pieces) -> under.put(id, Arrays.asList(pieces.clone())));
        return new Snapshot(
                active,
                pending,
                newest,
                new ArrayList<>(versions.values()),
                new ArrayList<>(gatewayNames),
                new TreeMap<>(reservedFloors),
                under);
    }

    /** Takes another book's state in the place of this one's. */
    public void restore(Snapshot whole) {
        versions.clear();
        whole.versions().forEach(version -> versions.put(version.number(), version));
        gatewayNames.clear();
        gatewayNames.addAll(whole.gatewayNames());
        reservedFloors.clear();
        reservedFloors.putAll(whole.reservedFloors());
        proposals.clear();
        whole.proposals().forEach((id, pieces) -> proposals.put(id, pieces.toArray(new String[0])));
        active = whole.active();
        pending = whole.pending();
        newest = whole.newest();
    }
}
