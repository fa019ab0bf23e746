package petrelstand.agreement;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Proposes the rules that an operator wrote into this gateway's file. All gateways of a fleet may get the same file at
 * about the same time: the first one proposes it, and the others find it agreed. If another text has become the newest
 * version since the file changed, nothing is proposed and a log line says so. Deterministic; not thread-safe.
 */
public final class RulesFileProposer {
    static final long RETRY_US = 200_000;
    /** A proposal that has no answer after this time is given up. */
    static final long GIVE_UP_US = 30_000_000;
    /** Maximum random delay before the first attempt, so that gateways with the same file don't propose it at once. */
    static final long MAX_START_DELAY_US = 1_000_000;

    /** What the proposer needs from its process. */
    public interface Actions {
        /** Sends a message to a voter, or to the leader if the name is empty; it may be lost. */
        void send(String voter, RulesMessage message);

        void log(String line);
    }

    private final String author;
    private final String reason;
    private final LeaseHolder holder;
    private final SplittableRandom random;
    private final Actions actions;
    private String text;
    private List<String> pieces;
    private long id;
    private long base;
    private int nextPiece;
    private long wallMs;
    private long startUs;
    private long lastSentUs;

    /** Creates a proposer; {@code author} and {@code reason} are stored with each version that it proposes. */
    public RulesFileProposer(String author, String reason, LeaseHolder holder, long seed, Actions actions) {
        this.author = author;
        this.reason = reason;
        this.holder = holder;
        this.random = new SplittableRandom(seed);
        this.actions = actions;
    }

    /** Begins to propose the file's new text, which must be loadable; {@code newWallMs} is the wall-clock time. */
    public void fileChanged(long nowUs, String newText, long newWallMs) {
        text = newText;
        pieces = RegistryCommand.splitIntoPieces(newText);
        id = random.nextLong();
        base = newestVersion();
        nextPiece = 0;
        wallMs = newWallMs;
        startUs = nowUs + random.nextLong(MAX_START_DELAY_US);
        lastSentUs = Long.MIN_VALUE / 2;
    }

    private long newestVersion() {
        return Math.max(holder.knownVersions()[0], holder.knownVersions()[1]);
    }

    /** Whether a text is being proposed. */
    public boolean hasPendingProposal() {
        return text != null;
    }

    /** Sends or gives up what is due; to be called regularly. */
    public void tick(long nowUs) {
        if (text == null || nowUs < startUs) {
            return;
        }
        long newest = newestVersion();
        if (text.equals(holder.text(newest))) {
            actions.log("the file's rules are version " + newest);
            text = null;
        } else if (nowUs - startUs >= GIVE_UP_US) {
            actions.log("the file's rules were not proposed: no leader answered in " + GIVE_UP_US / 1_000_000
                    + " s; change the file again, or use 'rules propose'");
            text = null;
        } else if (newest != base && holder.text(newest) != null) {
            actions.log("the file's rules were not proposed: the file was changed on version " + base
                    + ", and the newest version " + newest
                    + " has another text; compare them with 'rules diff', then use 'rules propose'");
            text = null;
        } else if (nowUs - lastSentUs >= RETRY_US) {
            sendNextPiece(nowUs);
        }
    }

    private void sendNextPiece(long nowUs) {
        lastSentUs = nowUs;
        actions.send(
                holder.leader(),
                new RulesMessage.ProposalPiece(
                        id, base, author, reason, wallMs, nextPiece, pieces.size(), pieces.get(nextPiece)));
    }

    /** Handles an answer; one to another request is ignored. */
    public void receive(long nowUs, RulesMessage.RequestAnswer answer) {
        if (text == null || answer.id() != id) {
            return;
        }
        if (answer.nextPiece() >= 0) {
            nextPiece = Math.min(answer.nextPiece(), pieces.size() - 1);
            sendNextPiece(nowUs);
        } else if (answer.error().isEmpty()) {
            actions.log("the file's rules were proposed and are version " + answer.version());
            text = null;
        } else if (!answer.error().startsWith(RuleRegistry.STALE_BASE)
                && !answer.error().contains(RuleRegistry.STILL_PENDING)) {
            actions.log("the file's rules were refused: " + answer.error());
            text = null;
        }
        // Otherwise another proposal came first; tick() compares its text with the file's once it has arrived.
    }
}
