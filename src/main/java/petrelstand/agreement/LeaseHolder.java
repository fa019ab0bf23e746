package petrelstand.agreement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import petrelstand.agreement.RulesMessage.FetchPiece;
import petrelstand.agreement.RulesMessage.LeaseAnswer;
import petrelstand.agreement.RulesMessage.LeaseRequest;
import petrelstand.agreement.RulesMessage.NotLeader;
import petrelstand.agreement.RulesMessage.TextPiece;
import petrelstand.agreement.RulesMessage.VersionsChanged;

/**
 * A gateway's half of the leases: on which version it may act at a moment. A lease counts from when it was asked for,
 * by this process's own clock; {@link #effectiveRules} is asked with the turn's one time wherever a rule decides, so
 * that a process which stood still for a minute acts on nothing stale when it goes on. Without a lease it acts on the
 * floors of what it last knew, or the stricter of that and what it has heard of since. Deterministic: one thread at a
 * time.
 */
public class LeaseHolder {
    /** Questions out, and texts kept. */
    static final int MAX_OPEN_REQUESTS = 16;

    static final int MAX_TEXTS = 4;
    /** A question that is not answered by then goes to another voter. */
    static final long ANSWER_TIMEOUT_US = 200_000;
    /** Renewals in a lease, so that three lost ones are no fault. */
    private static final int RENEWALS = 4;
    /** Pieces asked for at once. */
    private static final int AHEAD = 4;

    /** How a gateway acts: under a lease, on floors, or on nothing that is agreed. */
    public enum Mode {
        LEASED,
        FALLBACK,
        NONE
    }

    /** What it acts on at a moment. */
    public record EffectiveRules(long version, Mode mode, Rules rules) {}

    /** What the process does for this module. */
    public interface Actions {
        /** Sends to a voter; it may get lost. */
        void send(String voter, RulesMessage talk);

        /** What it acts on is another from now on; {@code why} in words. */
        void effectiveRulesChanged(long nowUs, EffectiveRules acting, String why);

        /** A version that came whole: to be kept for the next start. */
        void storeVersion(long version, String text);

        void count(String what);

        /** Something that an operator should read. */
        void log(String line);
    }

    /** A text as it comes, and the rules that it loads to. */
    private static final class Text {
        String[] pieces = new String[0];
        Rules rules;
        String whole;
        String fault = "";
        long askedUs = Long.MIN_VALUE / 2;

        boolean whole() {
            return rules != null || !fault.isEmpty();
        }
    }

    private static final EffectiveRules NOTHING = new EffectiveRules(0, Mode.NONE, Rules.NONE);

    private final long life;
    private final LeaseTiming promise;
    private final List<String> voters;
    private final Function<String, Rules> loader;
    private final SplittableRandom random;
    private final Actions act;
    private final Map<Long, Long> asked = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_OPEN_REQUESTS;
        }
    };
    private final TreeMap<Long, Text> texts = new TreeMap<>();
    private String leader = "";
    private int turn;
    private long active;
    private long waiting;
    private long leasedVersion;
    private long leasedUntilUs = Long.MIN_VALUE / 2;
    /** A lease on a version whose text has not come: it begins to count for something when it has. */
    private long comingVersion;

    private long comingUntilUs;
    private EffectiveRules told = NOTHING;
    private long toldSinceUs;
    private long nextAskUs;
    private long lastAnswerUs;
    private long lastAskUs = Long.MIN_VALUE / 2;

    /**
     * A gateway that asks the voters.
     *
     * @param life a random number, another at each start
     * @param loader what a text rules; throws an IllegalArgumentException of one line
     */
    public LeaseHolder(
            long nowUs,
            long life,
            List<String> voters,
            LeaseTiming promise,
            long seed,
            Function<String, Rules> loader,
            Actions act) {
        this.life = life;
        this.voters = List.copyOf(voters);
        this.promise = promise;
        this.loader = loader;
        this.random = new SplittableRandom(seed);
        this.act = act;
        this.nextAskUs = nowUs;
        this.lastAnswerUs = nowUs;
        this.toldSinceUs = nowUs;
    }

    /** What an earlier life kept: its floors are acted on until a lease comes. */
    public void restore(long nowUs, long version, String text) {
        Text kept = kept(version);
        load(version, kept, text);
        if (kept.rules != null) {
            leasedVersion = version;
            tell(nowUs, "kept by an earlier life");
        }
    }

    // ---- What a decision asks ----

    /** What may be acted on at a time, the turn's; costs a comparison. */
    public EffectiveRules effectiveRules(long nowUs) {
        if (isLeaseValid(nowUs)) {
            if (told.mode() != Mode.LEASED || told.version() != leasedVersion) {
                tell(nowUs, "a lease");
            }
        } else if (told.mode() == Mode.LEASED) {
            tell(nowUs, "the lease ran out");
        }
        return told;
    }

    protected boolean isLeaseValid(long nowUs) {
        return nowUs < leasedUntilUs;
    }

    /** A version's text, where it has come whole; else null. */
    public String text(long version) {
        Text text = texts.get(version);
        return text == null ? null : text.whole;
    }

    /** Since when it acts on what it acts on. */
    public long effectiveSinceUs() {
        return toldSinceUs;
    }

    /** The version that the leader last said is acted on, and the one that waits. */
    public long[] knownVersions() {
        return new long[] {active, waiting};
    }

    public String leader() {
        return leader;
    }

    /** When the last answer of a leader came. */
    public long lastAnswerUs() {
        return lastAnswerUs;
    }

    private void tell(long nowUs, String why) {
        Text text = texts.get(leasedVersion);
        EffectiveRules now = NOTHING;
        if (text != null && text.rules != null) {
            if (isLeaseValid(nowUs)) {
                now = new EffectiveRules(leasedVersion, Mode.LEASED, text.rules);
            } else {
                Rules rules = text.rules;
                for (Text later : texts.tailMap(leasedVersion, false).values()) {
                    rules = later.rules == null ? rules : rules.restrictedBy(later.rules);
                }
                now = new EffectiveRules(leasedVersion, Mode.FALLBACK, rules.toFallback());
            }
        }
        if (!now.equals(told)) {
            told = now;
            toldSinceUs = nowUs;
            act.effectiveRulesChanged(nowUs, now, why);
        }
    }

    // ---- Time ----

    /** What is due by now; to be called some ten times a lease's quarter, and as often as it likes. */
    public void tick(long nowUs) {
        effectiveRules(nowUs);
        boolean unanswered = lastAskUs > lastAnswerUs && nowUs - lastAskUs >= ANSWER_TIMEOUT_US;
        if (unanswered) {
            leader = "";
        }
        if (nowUs >= nextAskUs || unanswered) {
            ask(nowUs);
        }
        for (long version : new long[] {active, waiting}) {
            if (version > 0 && !kept(version).whole() && nowUs - kept(version).askedUs >= ANSWER_TIMEOUT_US) {
                fetch(nowUs, version, "");
            }
        }
    }

    private void ask(long nowUs) {
        long nonce = random.nextLong();
        asked.put(nonce, nowUs);
        lastAskUs = nowUs;
        nextAskUs = nowUs + (long) (promise.leaseUs() / RENEWALS * (0.8 + 0.2 * random.nextDouble()));
        Text next = texts.get(waiting);
        act.send(
                someVoter(),
                new LeaseRequest(
                        nonce,
                        life,
                        told.mode() == Mode.LEASED ? told.version() : 0,
                        preparedVersion(),
                        waiting == 0 || next == null ? "" : next.fault));
    }

    private String someVoter() {
        return !leader.isEmpty() ? leader : voters.get(Math.floorMod(turn++, voters.size()));
    }

    /** The newest version that it has whole and could load. */
    public long preparedVersion() {
        for (Map.Entry<Long, Text> entry : texts.descendingMap().entrySet()) {
            if (entry.getValue().rules != null) {
                return entry.getKey();
            }
        }
        return 0;
    }

    // ---- Messages ----

    public void receive(long nowUs, String from, RulesMessage talk) {
        if (talk instanceof LeaseAnswer grant) {
            granted(nowUs, from, grant);
        } else if (talk instanceof NotLeader elsewhere) {
            if (asked.remove(elsewhere.nonce()) != null) {
                lastAnswerUs = nowUs;
                // It may be a voter that was added since this process read its file.
                boolean known =
                        !elsewhere.leader().isEmpty() && !elsewhere.leader().equals(from);
                leader = known ? elsewhere.leader() : "";
                nextAskUs = Math.min(nextAskUs, nowUs + (known ? 0 : ANSWER_TIMEOUT_US / 2));
            }
        } else if (talk instanceof VersionsChanged hint) {
            // Also one that tells nothing new is answered: the leader gives them to those of whom it thinks they are
            // behind.
            if (hint.activeVersion() >= active && (hint.pendingVersion() >= waiting || hint.pendingVersion() == 0)) {
                leader = from;
                heardOf(nowUs, hint.activeVersion(), hint.pendingVersion());
                if (!kept(Math.max(active, waiting)).whole()) {
                    fetch(nowUs, Math.max(active, waiting), from);
                }
                nextAskUs = Math.min(nextAskUs, nowUs);
                tick(nowUs);
            }
        } else if (talk instanceof TextPiece piece) {
            pieceCame(nowUs, from, piece);
        }
    }

    private void heardOf(long nowUs, long nowActive, long nowWaiting) {
        active = Math.max(active, nowActive);
        waiting = Math.max(nowWaiting, nowWaiting == 0 ? 0 : waiting);
        if (waiting <= active) {
            waiting = 0;
        }
    }

    private void granted(long nowUs, String from, LeaseAnswer grant) {
        Long askedUs = asked.remove(grant.nonce());
        if (askedUs == null) {
            act.count("rules.refused.late");
            return;
        }
        lastAnswerUs = nowUs;
        leader = from;
        heardOf(nowUs, grant.activeVersion(), grant.pendingVersion());
        if (grant.granted() && grant.activeVersion() >= leasedVersion && grant.activeVersion() >= active) {
            long untilUs = leaseEndUs(nowUs, askedUs);
            if (texts.containsKey(grant.activeVersion()) && texts.get(grant.activeVersion()).rules != null) {
                lease(nowUs, grant.activeVersion(), untilUs);
            } else {
                comingVersion = grant.activeVersion();
                comingUntilUs = untilUs;
            }
        }
        for (long version : new long[] {active, waiting}) {
            if (version > 0 && !kept(version).whole()) {
                fetch(nowUs, version, from);
            }
        }
    }

    /** Until when a lease runs: counted from the asking, since the answer may have been under way for any time. */
    protected long leaseEndUs(long nowUs, long askedUs) {
        return askedUs + promise.leaseUs();
    }

    private void lease(long nowUs, long version, long untilUs) {
        leasedUntilUs = version == leasedVersion ? Math.max(leasedUntilUs, untilUs) : untilUs;
        boolean other = version != leasedVersion;
        leasedVersion = version;
        texts.headMap(version, false).clear();
        if (isLeaseValid(nowUs) && (other || told.mode() != Mode.LEASED)) {
            tell(nowUs, "a lease");
            // Said at once: the next version waits until all act on this one.
            nextAskUs = nowUs;
        }
    }

    // ---- Texts ----

    private Text kept(long version) {
        Text text = texts.computeIfAbsent(version, v -> new Text());
        while (texts.size() > MAX_TEXTS) {
            Long eldest = texts.firstKey() == leasedVersion ? texts.higherKey(leasedVersion) : texts.firstKey();
            texts.remove(eldest);
        }
        return text;
    }

    private void fetch(long nowUs, long version, String from) {
        Text text = kept(version);
        text.askedUs = nowUs;
        int missing = 0;
        for (int i = 0; i < Math.max(1, text.pieces.length) && missing < AHEAD; i++) {
            if (text.pieces.length == 0 || text.pieces[i] == null) {
                missing++;
                act.send(from.isEmpty() ? someVoter() : from, new FetchPiece(random.nextLong(), version, i));
            }
        }
    }

    private void pieceCame(long nowUs, String from, TextPiece piece) {
        Text text = texts.get(piece.version());
        if (text == null
                || text.whole()
                || piece.pieceCount() < 1
                || piece.pieceCount() > RegistryCommand.MAX_PIECES
                || piece.pieceIndex() < 0
                || piece.pieceIndex() >= piece.pieceCount()) {
            return;
        }
        if (text.pieces.length != piece.pieceCount()) {
            text.pieces = new String[piece.pieceCount()];
        }
        text.pieces[piece.pieceIndex()] = piece.text();
        for (String part : text.pieces) {
            if (part == null) {
                fetch(nowUs, piece.version(), from);
                return;
            }
        }
        load(piece.version(), text, String.join("", text.pieces));
        if (!text.fault.isEmpty()) {
            act.log("version " + piece.version() + " can't be loaded: " + text.fault);
        } else {
            act.storeVersion(piece.version(), String.join("", text.pieces));
        }
        if (comingVersion == piece.version() && text.rules != null && comingVersion >= active) {
            lease(nowUs, comingVersion, comingUntilUs);
        }
        // Said at once: the version waits for it.
        nextAskUs = nowUs;
        tick(nowUs);
    }

    private void load(long version, Text text, String whole) {
        text.whole = whole;
        try {
            text.rules = loader.apply(whole);
        } catch (IllegalArgumentException e) {
            String line = String.valueOf(e.getMessage());
            text.fault = line.substring(0, Math.min(line.length(), RulesMessage.MAX_LINE_CHARS));
        }
    }

    /** Questions and texts kept, for the test that each is bounded. */
    List<Integer> kept() {
        return new ArrayList<>(List.of(asked.size(), texts.size()));
    }
}
