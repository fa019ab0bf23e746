package petrelstand.agreement;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Proposes what an operator wrote into this gateway's file. Every gateway of a fleet may be given the same file at
 * about the same time: whoever comes first proposes it, the others find it agreed on. Where the newest version is
 * neither the one that the file was last in step with nor the file's own text, nothing is overwritten: a line says so.
 * Deterministic.
 */
public final class RulesFileProposer {
    static final long AGAIN_US = 200_000;
    /** Without an answer for so long a proposal is given up. */
    static final long PATIENCE_US = 30_000_000;
    /** Others may propose the same file in this moment: each waits a part of this time, drawn, before it does. */
    static final long SPREAD_US = 1_000_000;

    /** What the process does for this module. */
    public interface Actions {
        /** Sends to a voter, or to whoever leads where the name is empty. */
        void send(String voter, RulesMessage talk);

        void log(String line);
    }

    private final String who;
    private final String why;
    private final LeaseHolder holder;
    private final SplittableRandom random;
    private final Actions act;
    private String text;
    private List<String> pieces;
    private long id;
    private long base;
    private int next;
    private long wallMs;
    private long beginUs;
    private long askedUs;

    /** For a file; {@code why} is kept with each version. */
    public RulesFileProposer(String who, String why, LeaseHolder holder, long seed, Actions act) {
        this.who = who;
        this.why = why;
        this.holder = holder;
        this.random = new SplittableRandom(seed);
        this.act = act;
    }

    /** The file has another text, one that loads; {@code wallMs} is told to people. */
    public void fileChanged(long nowUs, String to, long wall) {
        text = to;
        pieces = RegistryCommand.splitIntoPieces(to);
        id = random.nextLong();
        base = newest();
        next = 0;
        wallMs = wall;
        beginUs = nowUs + random.nextLong(SPREAD_US);
        askedUs = Long.MIN_VALUE / 2;
    }

    private long newest() {
        return Math.max(holder.knownVersions()[0], holder.knownVersions()[1]);
    }

    /** Whether a text is on its way. */
    public boolean hasPendingProposal() {
        return text != null;
    }

    /** What is due by now. */
    public void tick(long nowUs) {
        if (text == null || nowUs < beginUs) {
            return;
        }
        long newest = newest();
        if (text.equals(holder.text(newest))) {
            act.log("the file's rules are version " + newest);
            text = null;
        } else if (nowUs - beginUs >= PATIENCE_US) {
            act.log("nobody who leads took the file's rules in " + PATIENCE_US / 1_000_000
                    + " s; change the file again, or use 'rules propose'");
            text = null;
        } else if (newest != base && holder.text(newest) != null) {
            act.log("the file was changed on version " + base + ", and the newest is " + newest
                    + " with another text: not proposed; look with 'rules diff', then use 'rules propose'");
            text = null;
        } else if (nowUs - askedUs >= AGAIN_US) {
            ask(nowUs);
        }
    }

    private void ask(long nowUs) {
        askedUs = nowUs;
        act.send(
                holder.leader(),
                new RulesMessage.ProposalPiece(id, base, who, why, wallMs, next, pieces.size(), pieces.get(next)));
    }

    /** An answer to an offer, this one's or another's. */
    public void receive(long nowUs, RulesMessage.RequestAnswer taken) {
        if (text == null || taken.id() != id) {
            return;
        }
        if (taken.nextPiece() >= 0) {
            next = Math.min(taken.nextPiece(), pieces.size() - 1);
            ask(nowUs);
        } else if (taken.error().isEmpty()) {
            act.log("the file's rules were proposed and are version " + taken.version());
            text = null;
        } else if (!taken.error().startsWith("it is based on") && !taken.error().contains("still on its way")) {
            act.log("the file's rules were refused: " + taken.error());
            text = null;
        }
        // Else another was faster: its text will come, and tells whether it is the same.
    }
}
