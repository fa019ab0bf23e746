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
 * commands. At most one version waits beside the one that is acted on. Bounded: {@link #KEPT} versions,
 * {@link #MOST_PROPOSALS} proposals under way, {@link #MOST_NAMES} gateways.
 */
public final class RuleBook {
    /** Versions kept with their texts. */
    public static final int KEPT = 16;
    /** A version's number is its epoch times this, and its place in the epoch. */
    public static final long EPOCH = 1_000_000;
    /** Of an epoch's number the part that is drawn. */
    public static final int TAGS = 1000;

    static final int MOST_PROPOSALS = 4;
    static final int MOST_NAMES = 1024;

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
            String who,
            String why,
            long wallMs,
            State state,
            List<Command.Figure> figures,
            String text) {
        public Version {
            figures = List.copyOf(figures);
        }

        Version as(State changed) {
            return new Version(number, base, who, why, wallMs, changed, figures, text);
        }
    }

    /** The answer to a command: the version that it made, or the one line why not. */
    public record Result(long version, String fault) {}

    private final TreeMap<Long, Version> versions = new TreeMap<>();
    private final LinkedHashMap<Long, String[]> proposals = new LinkedHashMap<>();
    private final TreeSet<String> names = new TreeSet<>();
    private final TreeMap<String, Long> marks = new TreeMap<>();
    private long active;
    private long waiting;
    private long newest;

    /** The version that is acted on; 0 where there is none yet. */
    public long active() {
        return active;
    }

    /** The epoch of a version: another one after each recovery by the operator. */
    public static long epoch(long version) {
        return version / EPOCH;
    }

    /** The version that waits until all that act on the one before have confirmed it; 0 where none does. */
    public long waiting() {
        return waiting;
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
    public java.util.Set<String> names() {
        return Collections.unmodifiableSet(names);
    }

    /** By plan, the highest floor that a gateway which is cut off may still act on. */
    public Map<String, Long> marks() {
        return Collections.unmodifiableMap(marks);
    }

    /** Applies a command. */
    public Result apply(Command command) {
        if (command instanceof Command.Part part) {
            return part(part);
        } else if (command instanceof Command.Propose propose) {
            return propose(propose);
        } else if (command instanceof Command.Activate activate) {
            return activate(activate);
        } else if (command instanceof Command.Withdraw withdraw) {
            return withdraw(withdraw);
        } else if (command instanceof Command.Register register) {
            return names.contains(register.name()) || names.size() < MOST_NAMES && names.add(register.name())
                    ? new Result(newest, "")
                    : new Result(newest, "no room for more than " + MOST_NAMES + " gateways");
        } else if (command instanceof Command.Forget forget) {
            return names.remove(forget.name())
                    ? new Result(newest, "")
                    : new Result(newest, forget.name() + " is not known");
        }
        return new Result(newest, "");
    }

    private Result part(Command.Part part) {
        if (part.of() < 1 || part.of() > Command.MOST_PIECES || part.piece() < 0 || part.piece() >= part.of()) {
            return new Result(newest, "a text of more than " + Command.MOST_TEXT + " characters");
        }
        String[] pieces = proposals.get(part.proposal());
        if (pieces == null || pieces.length != part.of()) {
            pieces = new String[part.of()];
            proposals.remove(part.proposal());
            if (proposals.size() >= MOST_PROPOSALS) {
                proposals.remove(proposals.keySet().iterator().next());
            }
            proposals.put(part.proposal(), pieces);
        }
        pieces[part.piece()] = part.text();
        return new Result(newest, "");
    }

    private Result propose(Command.Propose propose) {
        for (Version version : versions.values()) {
            // The answer was lost, and the proposer asks again.
            if (version.wallMs() == propose.wallMs()
                    && version.who().equals(propose.who())
                    && version.base() == propose.base()
                    && version.why().equals(propose.why())) {
                proposals.remove(propose.proposal());
                return new Result(version.number(), "");
            }
        }
        String[] pieces = proposals.get(propose.proposal());
        if (pieces == null
                || pieces.length != propose.pieces()
                || Arrays.asList(pieces).contains(null)) {
            return new Result(newest, "the text did not come whole; propose it again");
        }
        if (propose.base() != newest) {
            return new Result(newest, "it is based on version " + propose.base() + ", and the newest is " + newest);
        }
        if (waiting != 0) {
            return new Result(newest, "version " + waiting + " is still on its way; wait, or withdraw it");
        }
        for (Command.Figure figure : propose.figures()) {
            long mark = marks.getOrDefault(figure.plan(), 0L);
            if (figure.units() < mark) {
                return new Result(
                        newest,
                        "limit " + figure.plan() + ": units " + figure.units() + " is below " + mark
                                + ", the floor that gateways which are cut off may act on; lower the floor first");
            }
        }
        proposals.remove(propose.proposal());
        waiting = ++newest;
        versions.put(
                waiting,
                new Version(
                        waiting,
                        propose.base(),
                        propose.who(),
                        propose.why(),
                        propose.wallMs(),
                        State.WAITS,
                        propose.figures(),
                        String.join("", pieces)));
        while (versions.size() > KEPT) {
            versions.remove(versions.keySet().stream()
                    .filter(v -> v != active && v != waiting)
                    .findFirst()
                    .orElseThrow());
        }
        return new Result(waiting, "");
    }

    private Result activate(Command.Activate activate) {
        if (activate.version() != waiting || waiting == 0) {
            return new Result(active, "version " + activate.version() + " does not wait");
        }
        if (active != 0) {
            versions.computeIfPresent(active, (n, v) -> v.as(State.PAST));
        }
        active = waiting;
        waiting = 0;
        Version now = versions.get(active).as(State.ACTED_ON);
        versions.put(active, now);
        // Whoever has not confirmed this version may be cut off, and act on the floors of any before.
        if (activate.allOf() != 0 && activate.allOf() == print(names)) {
            marks.clear();
        }
        now.figures().forEach(figure -> marks.merge(figure.plan(), figure.floor(), Math::max));
        return new Result(active, "");
    }

    /** A number of a set of names, never 0. */
    static long print(java.util.SortedSet<String> of) {
        long print = 1;
        for (String name : of) {
            for (int i = 0; i < name.length(); i++) {
                print = print * 1_000_003 + name.charAt(i);
            }
            print = print * 31 + 7;
        }
        return print | 1L << 62;
    }

    long namesPrint() {
        return print(names);
    }

    private Result withdraw(Command.Withdraw withdraw) {
        if (withdraw.version() != waiting || waiting == 0) {
            return new Result(newest, "version " + withdraw.version() + " does not wait");
        }
        Version old = versions.get(waiting);
        versions.put(
                waiting,
                new Version(
                        old.number(),
                        old.base(),
                        old.who(),
                        old.why() + "; withdrawn by " + withdraw.who() + ": " + withdraw.why(),
                        old.wallMs(),
                        State.WITHDRAWN,
                        old.figures(),
                        old.text()));
        waiting = 0;
        return new Result(newest, "");
    }

    // ---- Whole, for snapshots ----

    /** Everything, as a value that another book can begin with. */
    public record Whole(
            long active,
            long waiting,
            long newest,
            List<Version> versions,
            List<String> names,
            Map<String, Long> marks,
            Map<Long, List<String>> proposals) {}

    public Whole whole() {
        Map<Long, List<String>> under = new LinkedHashMap<>();
        proposals.forEach((id, pieces) -> under.put(id, Arrays.asList(pieces.clone())));
        return new Whole(
                active,
                waiting,
                newest,
                new ArrayList<>(versions.values()),
                new ArrayList<>(names),
                new TreeMap<>(marks),
                under);
    }

    /** Takes another book's state in the place of this one's. */
    public void become(Whole whole) {
        versions.clear();
        whole.versions().forEach(version -> versions.put(version.number(), version));
        names.clear();
        names.addAll(whole.names());
        marks.clear();
        marks.putAll(whole.marks());
        proposals.clear();
        whole.proposals().forEach((id, pieces) -> proposals.put(id, pieces.toArray(new String[0])));
        active = whole.active();
        waiting = whole.waiting();
        newest = whole.newest();
    }
}
