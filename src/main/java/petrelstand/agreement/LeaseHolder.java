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
 * A gateway's side of the leases: which rules it may apply at a given time. A lease runs from the sending of its
 * request, by this process's own clock. {@link #effectiveRules} checks the lease at each decision, so that a process
 * that was suspended applies no stale rules when it resumes. Without a lease the gateway applies the fallback of its
 * last leased version, restricted by the later versions that it has loaded. Deterministic; not thread-safe. Times are
 * in µs.
 */
public class LeaseHolder {
    /** Bound on the lease requests that may still be answered. */
    static final int MAX_OPEN_REQUESTS = 16;
    /** Bound on the versions whose texts are kept. */
    static final int MAX_TEXTS = 4;
    /** A request without an answer is sent again, to another voter, after this time. */
    static final long ANSWER_TIMEOUT_US = 200_000;
    /** Renewals sent during a lease, so that up to three may be lost. */
    private static final int RENEWALS_PER_LEASE = 4;
    /** Bound on the pieces of a text that are requested at once. */
    private static final int MAX_PIECES_PER_FETCH = 4;

    /** Whether a gateway applies a version under a lease, the fallback of a version, or no agreed rules. */
    public enum Mode {
        LEASED,
        FALLBACK,
        NONE
    }

    /** The rules that a gateway applies, the version that they come from, and why it may apply them. */
    public record EffectiveRules(long version, Mode mode, Rules rules) {}

    /** What the holder needs from its process. */
    public interface Actions {
        /** Sends a message to a voter; it may be lost. */
        void send(String voter, RulesMessage message);

        /** Called when other rules take effect; {@code reason} is a text for the log. */
        void effectiveRulesChanged(long nowUs, EffectiveRules effective, String reason);

        /** Stores a version that was received completely, for the next start of the process. */
        void storeVersion(long version, String text);

        /** Increments a counter. */
        void count(String counter);

        /** Logs a line for the operator. */
        void log(String line);
    }

    /** The text of a version: its pieces as they arrive, then the rules or the error that it loads to. */
    private static final class VersionText {
        String[] pieces = new String[0];
        Rules rules;
        String text;
        String loadError = "";
        long lastFetchUs = Long.MIN_VALUE / 2;

        boolean isComplete() {
            return rules != null || !loadError.isEmpty();
        }
    }

    private static final EffectiveRules NO_RULES = new EffectiveRules(0, Mode.NONE, Rules.NONE);

    private final long instanceId;
    private final LeaseTiming timing;
    private final List<String> voters;
    private final Function<String, Rules> loader;
    private final SplittableRandom random;
    private final Actions actions;
    /** When each open request was sent, by nonce. */
    private final Map<Long, Long> openRequests = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_OPEN_REQUESTS;
        }
    };

    private final TreeMap<Long, VersionText> texts = new TreeMap<>();
    private String leader = "";
    private int nextVoter;
    private long activeVersion;
    private long pendingVersion;
    private long leasedVersion;
    private long leasedUntilUs = Long.MIN_VALUE / 2;
    /** A version with a granted lease whose text has not arrived yet; the lease takes effect once it has. */
    private long awaitedVersion;

    private long awaitedLeaseUntilUs;
    private EffectiveRules effective = NO_RULES;
    private long effectiveSinceUs;
    private long nextRequestUs;
    private long lastAnswerUs;
    private long lastRequestUs = Long.MIN_VALUE / 2;

    /**
     * Creates a holder without a lease.
     *
     * @param instanceId a random number that differs at each start of the process
     * @param voters the names of the voters
     * @param loader parses a rules text; throws an IllegalArgumentException with a one-line message
     */
    public LeaseHolder(
            long nowUs,
            long instanceId,
            List<String> voters,
            LeaseTiming timing,
            long seed,
            Function<String, Rules> loader,
            Actions actions) {
        this.instanceId = instanceId;
        this.voters = List.copyOf(voters);
        this.timing = timing;
        this.loader = loader;
        this.random = new SplittableRandom(seed);
        this.actions = actions;
        this.nextRequestUs = nowUs;
        this.lastAnswerUs = nowUs;
        this.effectiveSinceUs = nowUs;
    }

    /** Loads a version that an earlier process stored; its fallback applies until a lease is granted. */
    public void restore(long nowUs, long version, String text) {
        VersionText stored = textEntry(version);
        load(version, stored, text);
        if (stored.rules != null) {
            leasedVersion = version;
            updateEffectiveRules(nowUs, "restored from the last run");
        }
    }

    // ---- Queries ----

    /** The rules to apply at {@code nowUs}; costs a comparison, to be called for each decision. */
    public EffectiveRules effectiveRules(long nowUs) {
        if (isLeaseValid(nowUs)) {
            if (effective.mode() != Mode.LEASED || effective.version() != leasedVersion) {
                updateEffectiveRules(nowUs, "lease granted");
            }
        } else if (effective.mode() == Mode.LEASED) {
            updateEffectiveRules(nowUs, "lease expired");
        }
        return effective;
    }

    protected boolean isLeaseValid(long nowUs) {
        return nowUs < leasedUntilUs;
    }

    /** The text of a version, or null if it has not been received completely. */
    public String text(long version) {
        VersionText entry = texts.get(version);
        return entry == null ? null : entry.text;
    }

    /** Since when the current rules are in effect. */
    public long effectiveSinceUs() {
        return effectiveSinceUs;
    }

    /** The active and the pending version, in this order, as last reported by the leader; 0 for none. */
    public long[] knownVersions() {
        return new long[] {activeVersion, pendingVersion};
    }

    /** The name of the leader, or empty if none is known. */
    public String leader() {
        return leader;
    }

    /** When a voter last answered a lease request. */
    public long lastAnswerUs() {
        return lastAnswerUs;
    }

    private void updateEffectiveRules(long nowUs, String reason) {
        VersionText leased = texts.get(leasedVersion);
        EffectiveRules updated = NO_RULES;
        if (leased != null && leased.rules != null) {
            if (isLeaseValid(nowUs)) {
                updated = new EffectiveRules(leasedVersion, Mode.LEASED, leased.rules);
            } else {
                Rules rules = leased.rules;
                for (VersionText later : texts.tailMap(leasedVersion, false).values()) {
                    rules = later.rules == null ? rules : rules.restrictedBy(later.rules);
                }
                updated = new EffectiveRules(leasedVersion, Mode.FALLBACK, rules.toFallback());
            }
        }
        if (!updated.equals(effective)) {
            effective = updated;
            effectiveSinceUs = nowUs;
            actions.effectiveRulesChanged(nowUs, updated, reason);
        }
    }

    // ---- Time ----

    /** Sends the requests that are due; to be called at least ten times per renewal interval. */
    public void tick(long nowUs) {
        effectiveRules(nowUs);
        boolean timedOut = lastRequestUs > lastAnswerUs && nowUs - lastRequestUs >= ANSWER_TIMEOUT_US;
        if (timedOut) {
            leader = "";
        }
        if (nowUs >= nextRequestUs || timedOut) {
            requestLease(nowUs);
        }
        for (long version : new long[] {activeVersion, pendingVersion}) {
            if (version > 0
                    && !textEntry(version).isComplete()
                    && nowUs - textEntry(version).lastFetchUs >= ANSWER_TIMEOUT_US) {
                fetch(nowUs, version, "");
            }
        }
    }

    private void requestLease(long nowUs) {
        long nonce = random.nextLong();
        openRequests.put(nonce, nowUs);
        lastRequestUs = nowUs;
        nextRequestUs = nowUs + (long) (timing.leaseUs() / RENEWALS_PER_LEASE * (0.8 + 0.2 * random.nextDouble()));
        VersionText pending = texts.get(pendingVersion);
        actions.send(
                leaderOrNextVoter(),
                new LeaseRequest(
                        nonce,
                        instanceId,
                        effective.mode() == Mode.LEASED ? effective.version() : 0,
                        preparedVersion(),
                        pendingVersion == 0 || pending == null ? "" : pending.loadError));
    }

    private String leaderOrNextVoter() {
        return !leader.isEmpty() ? leader : voters.get(Math.floorMod(nextVoter++, voters.size()));
    }

    /** The newest version that was received completely and loaded, or 0. */
    public long preparedVersion() {
        for (Map.Entry<Long, VersionText> entry : texts.descendingMap().entrySet()) {
            if (entry.getValue().rules != null) {
                return entry.getKey();
            }
        }
        return 0;
    }

    // ---- Messages ----

    /** Handles a message from a voter; messages of other kinds are ignored. */
    public void receive(long nowUs, String sender, RulesMessage message) {
        if (message instanceof LeaseAnswer answer) {
            receiveLeaseAnswer(nowUs, sender, answer);
        } else if (message instanceof NotLeader notLeader) {
            if (openRequests.remove(notLeader.nonce()) != null) {
                lastAnswerUs = nowUs;
                // The leader may be a voter that was added since this process read its configuration.
                boolean leaderKnown =
                        !notLeader.leader().isEmpty() && !notLeader.leader().equals(sender);
                leader = leaderKnown ? notLeader.leader() : "";
                nextRequestUs = Math.min(nextRequestUs, nowUs + (leaderKnown ? 0 : ANSWER_TIMEOUT_US / 2));
            }
        } else if (message instanceof VersionsChanged changed) {
            // A notice without news is answered too: it means that the leader takes this gateway to be behind.
            if (changed.activeVersion() >= activeVersion
                    && (changed.pendingVersion() >= pendingVersion || changed.pendingVersion() == 0)) {
                leader = sender;
                updateKnownVersions(nowUs, changed.activeVersion(), changed.pendingVersion());
                if (!textEntry(Math.max(activeVersion, pendingVersion)).isComplete()) {
                    fetch(nowUs, Math.max(activeVersion, pendingVersion), sender);
                }
                nextRequestUs = Math.min(nextRequestUs, nowUs);
                tick(nowUs);
            }
        } else if (message instanceof TextPiece piece) {
            receivePiece(nowUs, sender, piece);
        }
    }

    private void updateKnownVersions(long nowUs, long reportedActive, long reportedPending) {
        activeVersion = Math.max(activeVersion, reportedActive);
        pendingVersion = Math.max(reportedPending, reportedPending == 0 ? 0 : pendingVersion);
        if (pendingVersion <= activeVersion) {
            pendingVersion = 0;
        }
    }

    private void receiveLeaseAnswer(long nowUs, String sender, LeaseAnswer answer) {
        Long requestedUs = openRequests.remove(answer.nonce());
        if (requestedUs == null) {
            actions.count("rules.refused.late");
            return;
        }
        lastAnswerUs = nowUs;
        leader = sender;
        updateKnownVersions(nowUs, answer.activeVersion(), answer.pendingVersion());
        if (answer.granted() && answer.activeVersion() >= leasedVersion && answer.activeVersion() >= activeVersion) {
            long untilUs = leaseEndUs(nowUs, requestedUs);
            if (texts.containsKey(answer.activeVersion()) && texts.get(answer.activeVersion()).rules != null) {
                startLease(nowUs, answer.activeVersion(), untilUs);
            } else {
                awaitedVersion = answer.activeVersion();
                awaitedLeaseUntilUs = untilUs;
            }
        }
        for (long version : new long[] {activeVersion, pendingVersion}) {
            if (version > 0 && !textEntry(version).isComplete()) {
                fetch(nowUs, version, sender);
            }
        }
    }

    /** When a lease ends: counted from its request, since the answer may have been delayed for any time. */
    protected long leaseEndUs(long nowUs, long requestedUs) {
        return requestedUs + timing.leaseUs();
    }

    private void startLease(long nowUs, long version, long untilUs) {
        leasedUntilUs = version == leasedVersion ? Math.max(leasedUntilUs, untilUs) : untilUs;
        boolean versionChanged = version != leasedVersion;
        leasedVersion = version;
        texts.headMap(version, false).clear();
        if (isLeaseValid(nowUs) && (versionChanged || effective.mode() != Mode.LEASED)) {
            updateEffectiveRules(nowUs, "lease granted");
            // Report the change at once: the next version can't be activated before all gateways apply this one.
            nextRequestUs = nowUs;
        }
    }

    // ---- Texts ----

    private VersionText textEntry(long version) {
        VersionText entry = texts.computeIfAbsent(version, v -> new VersionText());
        while (texts.size() > MAX_TEXTS) {
            Long eldest = texts.firstKey() == leasedVersion ? texts.higherKey(leasedVersion) : texts.firstKey();
            texts.remove(eldest);
        }
        return entry;
    }

    /** Requests missing pieces of a version's text from a voter, or from any if {@code voter} is empty. */
    private void fetch(long nowUs, long version, String voter) {
        VersionText entry = textEntry(version);
        entry.lastFetchUs = nowUs;
        int requested = 0;
        for (int i = 0; i < Math.max(1, entry.pieces.length) && requested < MAX_PIECES_PER_FETCH; i++) {
            if (entry.pieces.length == 0 || entry.pieces[i] == null) {
                requested++;
                actions.send(
                        voter.isEmpty() ? leaderOrNextVoter() : voter, new FetchPiece(random.nextLong(), version, i));
            }
        }
    }

    private void receivePiece(long nowUs, String sender, TextPiece piece) {
        VersionText entry = texts.get(piece.version());
        if (entry == null
                || entry.isComplete()
                || piece.pieceCount() < 1
                || piece.pieceCount() > RegistryCommand.MAX_PIECES
                || piece.pieceIndex() < 0
                || piece.pieceIndex() >= piece.pieceCount()) {
            return;
        }
        if (entry.pieces.length != piece.pieceCount()) {
            entry.pieces = new String[piece.pieceCount()];
        }
        entry.pieces[piece.pieceIndex()] = piece.text();
        for (String received : entry.pieces) {
            if (received == null) {
                fetch(nowUs, piece.version(), sender);
                return;
            }
        }
        load(piece.version(), entry, String.join("", entry.pieces));
        if (!entry.loadError.isEmpty()) {
            actions.log("version " + piece.version() + " can't be loaded, so this gateway does not confirm it: "
                    + entry.loadError);
        } else {
            actions.storeVersion(piece.version(), String.join("", entry.pieces));
        }
        if (awaitedVersion == piece.version() && entry.rules != null && awaitedVersion >= activeVersion) {
            startLease(nowUs, awaitedVersion, awaitedLeaseUntilUs);
        }
        // Report the loaded version at once: its activation waits for this.
        nextRequestUs = nowUs;
        tick(nowUs);
    }

    private void load(long version, VersionText entry, String text) {
        entry.text = text;
        try {
            entry.rules = loader.apply(text);
        } catch (IllegalArgumentException e) {
            String line = String.valueOf(e.getMessage());
            entry.loadError = line.substring(0, Math.min(line.length(), RulesMessage.MAX_LINE_CHARS));
        }
    }

    /** The sizes of the request and text tables, for the test of their bounds. */
    List<Integer> tableSizes() {
        return new ArrayList<>(List.of(openRequests.size(), texts.size()));
    }
}
