package petrelstand.agreement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The versions of the rules: the state machine behind the voters' log, equal at all voters after equal commands. At
 * most one version is pending beside the active one. Bounded by {@link #MAX_VERSIONS}, {@link #MAX_PROPOSALS} and
 * {@link #MAX_GATEWAYS}. Deterministic; not thread-safe.
 */
public final class RuleRegistry {
    /** Versions that are kept with their texts. */
    public static final int MAX_VERSIONS = 16;
    /** A version's number is its epoch times this, plus its number within the epoch. */
    public static final long VERSIONS_PER_EPOCH = 1_000_000;
    /** An epoch is a sequence number times this, plus a random tag that tells independent recoveries apart. */
    public static final int TAGS_PER_EPOCH_NUMBER = 1000;

    static final int MAX_PROPOSALS = 4;
    static final int MAX_GATEWAYS = 1024;

    /**
     * The beginning of the error for a proposal on an old base. Proposers recognize it, also those of other releases.
     */
    static final String STALE_BASE = "it is based on";
    /** Part of the error for a proposal while a version is pending. Recognized like {@link #STALE_BASE}. */
    static final String STILL_PENDING = "still on its way";

    /** The state of a version: pending, active, replaced or withdrawn. */
    public enum State {
        WAITS,
        ACTED_ON,
        PAST,
        WITHDRAWN
    }

    /**
     * A version of the rules.
     *
     * @param base the version that was the newest one when this was proposed
     * @param wallMs wall-clock time of the proposal
     */
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

        Version withState(State newState) {
            return new Version(number, base, author, reason, wallMs, newState, limits, text);
        }
    }

    /**
     * The result of a command.
     *
     * @param version the version that the command concerned, or the newest one
     * @param error one line that says why the command was refused, or empty
     */
    public record Result(long version, String error) {}

    private final TreeMap<Long, Version> versions = new TreeMap<>();
    private final LinkedHashMap<Long, String[]> proposals = new LinkedHashMap<>();
    private final TreeSet<String> gatewayNames = new TreeSet<>();
    private final TreeMap<String, Long> reservedFloors = new TreeMap<>();
    private long active;
    private long pending;
    private long newest;

    /** The active version, or 0 before the first one. */
    public long active() {
        return active;
    }

    /** The epoch of a version; each recovery by the operator begins a new one. */
    public static long epoch(long version) {
        return version / VERSIONS_PER_EPOCH;
    }

    /** The version that waits for confirmations before it becomes active, or 0. */
    public long pending() {
        return pending;
    }

    /** The highest version number given so far; a proposal must be based on it. */
    public long newest() {
        return newest;
    }

    /** The kept versions by number. */
    public Map<Long, Version> versions() {
        return Collections.unmodifiableMap(versions);
    }

    /** The names of the registered gateways: those that may apply a version, or the floors of one. */
    public Set<String> gatewayNames() {
        return Collections.unmodifiableSet(gatewayNames);
    }

    /** By plan, the highest floor that a gateway without a lease may still apply; no limit may be set below it. */
    public Map<String, Long> reservedFloors() {
        return Collections.unmodifiableMap(reservedFloors);
    }

    /** Applies the next command of the log. */
    public Result apply(RegistryCommand command) {
        if (command instanceof RegistryCommand.AddPiece piece) {
            return addPiece(piece);
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
                    : new Result(newest, "the maximum of " + MAX_GATEWAYS + " registered gateways is reached");
        } else if (command instanceof RegistryCommand.ForgetGateway forget) {
            return gatewayNames.remove(forget.name())
                    ? new Result(newest, "")
                    : new Result(newest, forget.name() + " is not a registered gateway");
        }
        return new Result(newest, "");
    }

    private Result addPiece(RegistryCommand.AddPiece piece) {
        if (piece.pieceCount() < 1
                || piece.pieceCount() > RegistryCommand.MAX_PIECES
                || piece.pieceIndex() < 0
                || piece.pieceIndex() >= piece.pieceCount()) {
            return new Result(
                    newest,
                    "the rules text is longer than " + RegistryCommand.MAX_TEXT_CHARS
                            + " characters, or a piece has a wrong index");
        }
        String[] pieces = proposals.get(piece.proposalId());
        if (pieces == null || pieces.length != piece.pieceCount()) {
            pieces = new String[piece.pieceCount()];
            proposals.remove(piece.proposalId());
            if (proposals.size() >= MAX_PROPOSALS) {
                proposals.remove(proposals.keySet().iterator().next());
            }
            proposals.put(piece.proposalId(), pieces);
        }
        pieces[piece.pieceIndex()] = piece.text();
        return new Result(newest, "");
    }

    private Result propose(RegistryCommand.Propose propose) {
        for (Version version : versions.values()) {
            // The proposal was applied before and its answer was lost; give the same answer again.
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
            return new Result(newest, "pieces of the rules text are missing; propose it again");
        }
        if (propose.base() != newest) {
            return new Result(
                    newest, STALE_BASE + " version " + propose.base() + ", and the newest version is " + newest);
        }
        if (pending != 0) {
            return new Result(
                    newest,
                    "version " + pending + (" is " + STILL_PENDING + "; wait until it is active, or withdraw it"));
        }
        for (RegistryCommand.PlanLimit limit : propose.limits()) {
            long reservedFloor = reservedFloors.getOrDefault(limit.plan(), 0L);
            if (limit.units() < reservedFloor) {
                return new Result(
                        newest,
                        "limit " + limit.plan() + ": units " + limit.units() + " is below " + reservedFloor
                                + ", the floor that gateways without a lease may still apply; lower the floor first");
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
                    .filter(number -> number != active && number != pending)
                    .findFirst()
                    .orElseThrow());
        }
        return new Result(pending, "");
    }

    private Result activate(RegistryCommand.Activate activate) {
        if (activate.version() != pending || pending == 0) {
            return new Result(active, "version " + activate.version() + " is not pending");
        }
        if (active != 0) {
            versions.computeIfPresent(active, (number, version) -> version.withState(State.PAST));
        }
        active = pending;
        pending = 0;
        Version activated = versions.get(active).withState(State.ACTED_ON);
        versions.put(active, activated);
        // A gateway that has not confirmed this version may be disconnected and apply the floors of an earlier one.
        if (activate.confirmedNamesHash() != 0 && activate.confirmedNamesHash() == hash(gatewayNames)) {
            reservedFloors.clear();
        }
        activated.limits().forEach(limit -> reservedFloors.merge(limit.plan(), limit.floor(), Math::max));
        return new Result(active, "");
    }

    /** Hashes a set of names; never 0. */
    static long hash(SortedSet<String> names) {
        long hash = 1;
        for (String name : names) {
            for (int i = 0; i < name.length(); i++) {
                hash = hash * 1_000_003 + name.charAt(i);
            }
            hash = hash * 31 + 7;
        }
        return hash | 1L << 62;
    }

    long gatewayNamesHash() {
        return hash(gatewayNames);
    }

    private Result withdraw(RegistryCommand.Withdraw withdraw) {
        if (withdraw.version() != pending || pending == 0) {
            return new Result(newest, "version " + withdraw.version() + " is not pending");
        }
        Version withdrawn = versions.get(pending);
        versions.put(
                pending,
                new Version(
                        withdrawn.number(),
                        withdrawn.base(),
                        withdrawn.author(),
                        withdrawn.reason() + "; withdrawn by " + withdraw.author() + ": " + withdraw.reason(),
                        withdrawn.wallMs(),
                        State.WITHDRAWN,
                        withdrawn.limits(),
                        withdrawn.text()));
        pending = 0;
        return new Result(newest, "");
    }

    // ---- Snapshots ----

    /** The complete state of a registry. */
    public record Snapshot(
            long active,
            long pending,
            long newest,
            List<Version> versions,
            List<String> gatewayNames,
            Map<String, Long> reservedFloors,
            Map<Long, List<String>> proposals) {}

    /** Copies the state. */
    public Snapshot snapshot() {
        Map<Long, List<String>> proposalPieces = new LinkedHashMap<>();
        proposals.forEach((id, pieces) -> proposalPieces.put(id, Arrays.asList(pieces.clone())));
        return new Snapshot(
                active,
                pending,
                newest,
                new ArrayList<>(versions.values()),
                new ArrayList<>(gatewayNames),
                new TreeMap<>(reservedFloors),
                proposalPieces);
    }

    /** Replaces this registry's state. */
    public void restore(Snapshot snapshot) {
        versions.clear();
        snapshot.versions().forEach(version -> versions.put(version.number(), version));
        gatewayNames.clear();
        gatewayNames.addAll(snapshot.gatewayNames());
        reservedFloors.clear();
        reservedFloors.putAll(snapshot.reservedFloors());
        proposals.clear();
        snapshot.proposals().forEach((id, pieces) -> proposals.put(id, pieces.toArray(new String[0])));
        active = snapshot.active();
        pending = snapshot.pending();
        newest = snapshot.newest();
    }
}
