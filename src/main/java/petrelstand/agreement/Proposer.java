package petrelstand.agreement;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Proposes what an operator wrote into this gateway's file. Every gateway of a fleet may be given the same file at
 * about the same time: whoever comes first proposes it, the others find it agreed on. Where the newest version is
 * neither the one that the file was last in step with nor the file's own text, nothing is overwritten: a line says so.
 * Deterministic.
 */
public final class Proposer {
    static final long AGAIN_US = 200_000;
    /** Without an answer for so long a proposal is given up. */
    static final long PATIENCE_US = 30_000_000;
    /** Others may propose the same file in this moment: each waits a part of this time, drawn, before it does. */
    static final long SPREAD_US = 1_000_000;

    /** What the process does for this module. */
    public interface Actions {
        /** Sends to a voter, or to whoever leads where the name is empty. */
        void send(String voter, Talk talk);

        void say(String line);
    }

    private final String who;
    private final String why;
    private final Holder holder;
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
    public Proposer(String who, String why, Holder holder, long seed, Actions act) {
        this.who = who;
        this.why = why;
        this.holder = holder;
        this.random = new SplittableRandom(seed);
        this.act = act;
    }

    /** The file has another text, one that loads; {@code wallMs} is told to people. */
    public void changed(long nowUs, String to, long wall) {
        text = to;
        pieces = Command.pieces(to);
        id = random.nextLong();
        base = newest();
        next = 0;
        wallMs = wall;
        beginUs = nowUs + random.nextLong(SPREAD_US);
        askedUs = Long.MIN_VALUE / 2;
    }

    private long newest() {
        return Math.max(holder.heard()[0], holder.heard()[1]);
    }

    /** Whether a text is on its way. */
    public boolean busy() {
        return text != null;
    }

    /** What is due by now. */
    public void tick(long nowUs) {
        if (text == null || nowUs < beginUs) {
            return;
        }
        long newest = newest();
        if (text.equals(holder.text(newest))) {
            act.say("the file's rules are version " + newest);
            text = null;
        } else if (nowUs - beginUs >= PATIENCE_US) {
            act.say("nobody who leads took the file's rules in " + PATIENCE_US / 1_000_000
                    + " s; change the file again, or use 'rules propose'");
            text = null;
        } else if (newest != base && holder.text(newest) != null) {
            act.say("the file was changed on version " + base + ", and the newest is " + newest
                    + " with another text: not proposed; look with 'rules diff', then use 'rules propose'");
            text = null;
        } else if (nowUs - askedUs >= AGAIN_US) {
            ask(nowUs);
        }
    }

    private void ask(long nowUs) {
        askedUs = nowUs;
        act.send(holder.leader(), new Talk.Offer(id, base, who, why, wallMs, next, pieces.size(), pieces.get(next)));
    }

    /** An answer to an offer, this one's or another's. */
    public void receive(long nowUs, Talk.Taken taken) {
        if (text == null || taken.id() != id) {
            return;
        }
        if (taken.next() >= 0) {
            next = Math.min(taken.next(), pieces.size() - 1);
            ask(nowUs);
        } else if (taken.fault().isEmpty()) {
            act.say("the file's rules were proposed and are version " + taken.version());
            text = null;
        } else if (!taken.fault().startsWith("it is based on") && !taken.fault().contains("still on its way")) {
            act.say("the file's rules were refused: " + taken.fault());
            text = null;
        }
        // Else another was faster: its text will come, and tells whether it is the same.
    }
}
