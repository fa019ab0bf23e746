package petrelstand.members;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import petrelstand.members.Message.Ack;
import petrelstand.members.Message.Answer;
import petrelstand.members.Message.Ask;
import petrelstand.members.Message.Digests;
import petrelstand.members.Message.Envelope;
import petrelstand.members.Message.Join;
import petrelstand.members.Message.News;
import petrelstand.members.Message.Ping;

/**
 * Who is there and who has failed, as one gateway sees it. A member is watched by its predecessors on {@link #RINGS}
 * rings, on which all members stand in an order of their own; who falls silent to a watcher, directly and through
 * others, is suspected, and fails where two agree and it does not answer in time. What changes is told on as news.
 * Deterministic: messages and time in, messages and changes out. One thread at a time; times are microseconds of a clock
 * that never goes back. {@link #tick} is to be called every {@link Timing#TICK_US}; one that comes late says that this
 * process stood still. The design and the ways weighed are in docs/design/members.md.
 */
public class Membership {
    /** Orders in which members watch each other. */
    static final int RINGS = 3;
    /** Members watched beyond each that is silent, on one ring. */
    static final int MOST_WALK = 8;
    /** Members known, those that are gone among them. */
    public static final int MOST_MEMBERS = 1024;
    /** Lives whose messages are taken: those that answered a nonce of this process. */
    static final int MOST_PROVEN = 2 * MOST_MEMBERS;
    /** Questions out at a time. */
    static final int MOST_ASKED = 256;
    /** Members that news is told to in a round, and how often a round comes while there is news. */
    static final int FAN_OUT = 3;
    static final long NEWS_US = 100_000;
    /** Accusers that a suspect needs to fail, and members that check where a suspect has fewer. */
    static final int ACCUSERS = 2;
    static final int CHECKERS = 3;
    /** Others asked to ping a silent member. */
    static final int RELAYS = 2;
    /** Messages a second that this process sends at most, over a second and in the long run. */
    static final double MOST_SENT = 150;
    /** With more rumours than that those told least go first. */
    private static final int MOST_IN_TURN = 6;
    /** Members named to a newcomer. */
    static final int NAMED = 6;
    /** Of that, what comparisons leave for joins, pings and their answers. */
    static final double KEPT_FOR_ANSWERS = MOST_SENT / 2;
    /** How long a difference of digests may last before the parts are compared: news under way ends it before. */
    static final long DIFFER_US = 700_000;
    /** A process begins comparisons no more often than that: each may be answered by the whole view. */
    static final long LEAST_COMPARE_US = 350_000;
    /** Time that a leaving member goes on answering. */
    static final long LEAVE_US = 200_000;
    /** A first start that nobody answers goes on alone after so many retries. */
    static final int ALONE_RETRIES = 5;
    /** A failed member is tried again for so long, and known for so long. */
    static final long FORGET_US = 24L * 3600 * 1_000_000;

    /** What the process does for this module. */
    public interface Actions {
        /** Sends a message; it may get lost, and nothing is told of that. */
        void send(String address, Envelope message);

        /** The view has changed. */
        void changed(Change change);

        /** What this gateway sees of the fleet has changed. */
        void standing(Standing standing);

        /** This process did not run for so long, without having been asked to. */
        void stalled(long us);

        /** Something happened that is counted; names are few and fixed. */
        void count(String what);

        /** Something that an operator should read. */
        void say(String line);
    }

    /** Another member, or one that is gone. */
    private static final class Peer {
        Member member;
        long sinceUs;
        String cause;
        /** When it was last heard, from itself or through others; for one newly watched, when that began. */
        long heardUs;
        boolean relayed;
        boolean watched;
        long checkUntilUs;
        long nextPingUs;
        long pingNonce;
        final Set<String> accusers = new HashSet<>();
        /** Silent while this process heard nobody: not told to others, and taken back once it hears anybody. */
        boolean unreached;

        boolean present() {
            return member.state().present();
        }
    }

    /** News with how often it is still to be told. */
    private static final class Rumour {
        final Member member;
        int left;

        Rumour(Member member, int left) {
            this.member = member;
            this.left = left;
        }
    }

    private enum Purpose { PEER, RELAYED, CHALLENGE, JOIN, RELAY }

    /** A question that is out: what for, of whom, and for a relay who wants to know. */
    private record Asked(Purpose purpose, String name, String address, long origin) {}

    private final String fleet;
    private final Timing timing;
    private final Collection<String> seeds;
    /** Where members were before this process was away. */
    private final Set<String> former = new LinkedHashSet<>();
    private final int fixedSize;
    private final SplittableRandom random;
    private final Actions act;
    private final long ringSeed;
    private Member self;
    private long selfSinceUs;
    private String selfCause = "started";
    private long sequence;
    private final Map<String, Peer> peers = new HashMap<>();
    private final List<TreeMap<Long, Peer>> rings = new ArrayList<>();
    private final long[] places = new long[RINGS];
    private final Set<Peer> watched = new LinkedHashSet<>();
    private final Set<Peer> suspects = new LinkedHashSet<>();
    private final LinkedHashMap<String, Rumour> rumours = new LinkedHashMap<>();
    private final Map<Long, ReplayWindow> proven = bounded(MOST_PROVEN);
    private final Map<Long, Asked> asked = bounded(MOST_ASKED);
    private final long[] buckets = new long[Message.BUCKETS];
    private long version;
    private int grown = 1;
    /** Others that are there, and those of them that are not reached while this process hears nobody. */
    private int others;
    private int unreached;
    private Standing standing;
    private long tickedUs;
    private long heardAnyUs;
    private long nextRetryUs;
    private long nextNewsUs;
    private long differsSinceUs = Long.MAX_VALUE;
    private long comparedUs;
    private int retries;
    private int turn;
    private long leftAtUs = Long.MAX_VALUE;
    private boolean ended;
    private double budget = MOST_SENT;
    private boolean held;

    /**
     * A process that wants to be a member.
     *
     * @param self as it is to be known; its state is taken as {@link MemberState#JOINING}
     * @param seeds addresses to join by; may be down, wrong, or this process's own
     * @param size the agreed number of members, or 0: the most that were seen, less those that left in order
     * @param seed of all chance in here
     */
    public Membership(long nowUs, String fleet, Member self, Collection<String> seeds, int size, Timing timing, long seed,
            Actions act) {
        this.fleet = Objects.requireNonNull(fleet);
        this.self = self.as(MemberState.JOINING, "");
        this.seeds = new LinkedHashSet<>(seeds);
        this.seeds.remove(self.address());
        this.fixedSize = size;
        this.timing = timing;
        this.random = new SplittableRandom(seed);
        this.ringSeed = Hash.of(fleet);
        this.act = act;
        this.selfSinceUs = tickedUs = heardAnyUs = nowUs;
        this.comparedUs = nowUs - LEAST_COMPARE_US;
        this.standing = new Standing(Standing.Reach.NOBODY, 0, agreedSize(), nowUs);
        for (int i = 0; i < RINGS; i++) {
            rings.add(new TreeMap<>());
            places[i] = place(i, self.name());
        }
    }

    private static <V> Map<Long, V> bounded(int most) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
                return size() > most;
            }
        };
    }

    // ---- What others ask of this module ----

    /** This process as it is known. */
    public Member self() {
        return self;
    }

    /** Grows with each change of the view; of this process alone. */
    public long version() {
        return version;
    }

    /** The same wherever the same members are held to be there, in the same state and incarnation. */
    public long digest() {
        long all = 0;
        for (long bucket : buckets) {
            all = Hash.mix(all ^ bucket);
        }
        return all;
    }

    public Standing standing() {
        return standing;
    }

    /** One line of the view. */
    public record Line(Member member, long sinceUs, String cause, long heardUs, boolean relayed, boolean watched) {}

    /** The view, this process first, then by name; members that nobody was heard of while cut off show as failed. */
    public List<Line> view() {
        List<Line> lines = new ArrayList<>();
        lines.add(new Line(self, selfSinceUs, selfCause, tickedUs, false, false));
        new TreeMap<>(peers).values().forEach(p -> lines.add(new Line(
                p.unreached ? p.member.as(MemberState.FAILED, "") : p.member, p.sinceUs,
                p.unreached ? "nobody is heard here" : p.cause, p.heardUs, p.relayed, p.watched)));
        return lines;
    }

    /** Addresses of the members that are there and reached, by name; this process is not among them. */
    public Map<String, String> reached() {
        Map<String, String> found = new TreeMap<>();
        peers.values().stream().filter(p -> p.present() && !p.unreached)
                .forEach(p -> found.put(p.member.name(), p.member.address()));
        return found;
    }

    /** Where a member is or was reached; null where it is not known. This process's own is its own. */
    public String addressOf(String name) {
        Peer peer = peers.get(name);
        return name.equals(self.name()) ? self.address() : peer == null ? null : peer.member.address();
    }

    private int agreedSize() {
        return fixedSize > 0 ? fixedSize : grown;
    }

    /** Tells that this process will end; {@link #ended} says when all is told. */
    public void leave(long nowUs) {
        if (leftAtUs == Long.MAX_VALUE) {
            boolean was = self.state() == MemberState.ALIVE;
            leftAtUs = nowUs + (was ? LEAVE_US : 0);
            if (was) {
                becomes(nowUs, MemberState.LEAVING, "it ends in order");
                spread(self);
                tellNews(nowUs);
            }
        }
    }

    /** Whether this process has left, as it was asked to. */
    public boolean ended() {
        return ended;
    }

    // ---- Time ----

    /** What is due by now. */
    public void tick(long nowUs) {
        long stood = nowUs - tickedUs - Timing.TICK_US;
        budget = Math.min(MOST_SENT, budget + (nowUs - tickedUs) / 1e6 * MOST_SENT);
        tickedUs = nowUs;
        if (ended) {
            return;
        }
        if (wasAway(stood)) {
            returned(nowUs, stood);
        } else if (stood >= timing.stallUs()) {
            act.count("fleet.stalls");
            act.stalled(stood);
            excuse(nowUs, stood);
        }
        if (nowUs >= leftAtUs) {
            endInOrder(nowUs);
            return;
        }
        if (nowUs >= nextRetryUs) {
            retry(nowUs);
            nextRetryUs = nowUs + (long) (timing.retryUs() * (0.75 + 0.5 * random.nextDouble()));
        }
        if (self.state() != MemberState.JOINING) {
            boolean isolated = isolated(nowUs);
            watch(nowUs, isolated);
            decide(nowUs, isolated);
            if (isolated && nowUs - heardAnyUs >= timing.suspectAfterUs() + timing.failAfterUs()) {
                peers.values().stream().filter(p -> p.present() && !p.unreached).forEach(p -> reach(nowUs, p, false));
                notePresent(nowUs);
            }
        }
        if (nowUs >= nextNewsUs && !rumours.isEmpty()) {
            tellNews(nowUs);
        }
    }

    /** Whether this process stood still for so long that others may have given it up. */
    boolean wasAway(long stoodUs) {
        return stoodUs >= timing.awayUs();
    }

    /** This process stood still: nobody was silent meanwhile. Harm: who fell silent then is found so later. */
    private void excuse(long nowUs, long stoodUs) {
        for (Peer peer : peers.values()) {
            peer.heardUs = Math.min(nowUs, peer.heardUs + stoodUs);
            peer.sinceUs = peer.member.state() == MemberState.SUSPECT ? Math.min(nowUs, peer.sinceUs + stoodUs)
                    : peer.sinceUs;
        }
        heardAnyUs = Math.min(nowUs, heardAnyUs + stoodUs);
    }

    /** Others may have given this process up, and all that it knows is old: nobody is there until it has joined. */
    private void returned(long nowUs, long stoodUs) {
        act.count("fleet.away");
        act.stalled(stoodUs);
        act.say("away: this process stood still for " + stoodUs / 1000 + " ms; joining anew");
        former.clear();
        for (Peer peer : peers.values()) {
            if (peer.present()) {
                former.add(peer.member.address());
                toggle(peer.member);
            }
        }
        // Who is gone stays so: others may still hold old claims on them.
        peers.values().removeIf(Peer::present);
        rings.forEach(TreeMap::clear);
        watched.clear();
        suspects.clear();
        others = unreached = 0;
        rumours.clear();
        asked.clear();
        if (leftAtUs == Long.MAX_VALUE) {
            becomes(nowUs, MemberState.JOINING, "stood still for " + stoodUs / 1000 + " ms");
            retries = 0;
            nextRetryUs = nowUs;
        }
        heardAnyUs = nowUs;
        notePresent(nowUs);
    }

    /** Marks a member as not reached while this process hears nobody, or as reached again. */
    private void reach(long nowUs, Peer peer, boolean reached) {
        MemberState claimed = peer.member.state();
        peer.unreached = !reached;
        unreached += reached ? -1 : 1;
        peer.heardUs = reached ? nowUs : peer.heardUs;
        version++;
        act.changed(new Change(nowUs, version, reached ? peer.member : peer.member.as(MemberState.FAILED, ""),
                reached ? MemberState.FAILED : claimed, reached ? "heard again" : "nobody is heard here"));
    }

    private boolean isolated(long nowUs) {
        return others > 0 && nowUs - heardAnyUs >= timing.isolatedUs();
    }

    private void endInOrder(long nowUs) {
        if (self.state() == MemberState.LEAVING) {
            becomes(nowUs, MemberState.LEFT, "ended in order");
            spread(self);
            for (int i = 0; i < 2; i++) {
                tellNews(nowUs);
            }
            for (Peer peer : watchers()) {
                send(peer.member.address(), new News(List.of(self)));
            }
        }
        ended = true;
    }

    /** Joining asks seeds and members known; a member tries seeds that are none and one that failed. */
    private void retry(long nowUs) {
        peers.values().removeIf(p -> !p.present() && nowUs - p.sinceUs > FORGET_US);
        boolean joining = self.state() == MemberState.JOINING;
        Set<String> known = new LinkedHashSet<>(seeds);
        if (joining) {
            known.addAll(former);
        }
        List<String> tried = new ArrayList<>(known);
        Set<String> present = new HashSet<>();
        List<String> gone = new ArrayList<>();
        for (Peer peer : peers.values()) {
            (peer.present() && !peer.unreached && !joining ? present : gone).add(peer.member.address());
        }
        tried.removeAll(present);
        gone.removeAll(tried);
        gone.remove(self.address());
        java.util.Collections.sort(gone);
        List<String> to = new ArrayList<>();
        for (int i = 0; i < 2 && !tried.isEmpty(); i++) {
            to.add(tried.remove(Math.floorMod(turn++, tried.size())));
        }
        if (!gone.isEmpty()) {
            to.add(gone.get(random.nextInt(gone.size())));
        }
        for (String address : to) {
            long nonce = nonce();
            asked.put(nonce, new Asked(joining ? Purpose.JOIN : Purpose.CHALLENGE, "", address, 0));
            send(address, joining ? new Join(nonce, self) : new Ping(nonce, digest(), newsFor(at(address))));
        }
        if (joining && !held && leftAtUs == Long.MAX_VALUE && (to.isEmpty() || retries++ >= ALONE_RETRIES)) {
            enter(nowUs, "nobody answers");
        }
    }

    private Peer at(String address) {
        return peers.values().stream().filter(p -> p.member.address().equals(address)).findFirst().orElse(null);
    }

    // ---- Watching ----

    /** On each ring the next member, and beyond those that are silent the next that is not. */
    private Set<Peer> subjects(long nowUs) {
        Set<Peer> found = new LinkedHashSet<>();
        for (int ring = 0; ring < RINGS; ring++) {
            TreeMap<Long, Peer> order = rings.get(ring);
            Map.Entry<Long, Peer> next = order.higherEntry(places[ring]);
            for (int step = 0; step < Math.min(MOST_WALK, order.size()); step++) {
                next = next == null ? order.firstEntry() : next;
                Peer peer = next.getValue();
                found.add(peer);
                if (!peer.watched || nowUs - peer.heardUs < 2 * timing.pingUs()) {
                    break;
                }
                next = order.higherEntry(next.getKey());
            }
        }
        return found;
    }

    /** Those that watch this process, if they see what it sees. */
    private Set<Peer> watchers() {
        Set<Peer> found = new LinkedHashSet<>();
        for (int ring = 0; ring < RINGS && !rings.get(ring).isEmpty(); ring++) {
            Map.Entry<Long, Peer> before = rings.get(ring).lowerEntry(places[ring]);
            found.add((before == null ? rings.get(ring).lastEntry() : before).getValue());
        }
        return found;
    }

    private long place(int ring, String name) {
        return Hash.mix(Hash.of(name) + ringSeed * (ring + 1));
    }

    private void watch(long nowUs, boolean isolated) {
        Set<Peer> subjects = subjects(nowUs);
        for (Peer peer : subjects) {
            if (watched.add(peer)) {
                peer.watched = true;
                peer.heardUs = nowUs;
                peer.nextPingUs = nowUs + (long) (random.nextDouble() * timing.pingUs());
            }
        }
        for (Peer peer : List.copyOf(watched)) {
            peer.watched = subjects.contains(peer) || peer.present() && nowUs < peer.checkUntilUs;
            if (peer.watched) {
                probe(nowUs, peer, isolated);
            } else {
                watched.remove(peer);
            }
        }
    }

    private void probe(long nowUs, Peer peer, boolean isolated) {
        long silentUs = nowUs - peer.heardUs;
        if (nowUs >= peer.nextPingUs) {
            asked.remove(peer.pingNonce);
            peer.pingNonce = nonce();
            asked.put(peer.pingNonce, new Asked(Purpose.PEER, peer.member.name(), peer.member.address(), 0));
            send(peer.member.address(), new Ping(peer.pingNonce, digest(), newsFor(peer)));
            long everyUs = silentUs > timing.pingUs() * 3 / 2 ? timing.pingUs() / 2 : timing.pingUs();
            peer.nextPingUs = nowUs + (long) (everyUs * (0.9 + 0.2 * random.nextDouble()));
            if (silentUs >= 2 * timing.pingUs() || peer.relayed) {
                askOthers(nowUs, peer);
            }
        }
        if (silentUs >= timing.suspectAfterUs() && !isolated) {
            accuse(nowUs, peer);
        }
    }

    /** Who was heard last is the likeliest to hear an answer. */
    private void askOthers(long nowUs, Peer peer) {
        List<Peer> others = new ArrayList<>();
        for (Peer other : peers.values()) {
            if (other != peer && other.member.state() == MemberState.ALIVE && !other.unreached) {
                others.add(other);
            }
        }
        others.sort((a, b) -> a.heardUs != b.heardUs ? Long.compare(b.heardUs, a.heardUs)
                : a.member.name().compareTo(b.member.name()));
        int fresh = 0;
        while (fresh < others.size() && nowUs - others.get(fresh).heardUs < 2 * timing.pingUs()) {
            fresh++;
        }
        int among = Math.max(Math.min(RELAYS, others.size()), fresh);
        for (int i = 0; i < RELAYS && among > 0; i++) {
            Peer relay = others.remove(random.nextInt(among--));
            long nonce = nonce();
            asked.put(nonce, new Asked(Purpose.RELAYED, peer.member.name(), peer.member.address(), 0));
            send(relay.member.address(), new Ask(nonce, peer.member.name(), peer.member.address()));
        }
    }

    private void accuse(long nowUs, Peer peer) {
        MemberState state = peer.member.state();
        if (state == MemberState.ALIVE) {
            act.count("fleet.suspected");
            apply(nowUs, peer, peer.member.as(MemberState.SUSPECT, self.name()), "silent for "
                    + (nowUs - peer.heardUs) / 1000 + " ms here and to those asked");
            spread(peer.member);
        } else if (state == MemberState.SUSPECT && peer.accusers.add(self.name())) {
            spread(peer.member.as(MemberState.SUSPECT, self.name()));
        } else if (state == MemberState.LEAVING) {
            apply(nowUs, peer, peer.member.as(MemberState.LEFT, ""), "silent after it told that it ends");
            spread(peer.member);
        }
    }

    /**
     * A suspect fails when its time is over: where two accuse it, or as many as there are to do so; else it has twice
     * the time. Never while this process hears nobody; and where it has heard the suspect since, the time begins anew:
     * one that answered, and ended before it could say that it lives, would else be a suspect for ever.
     */
    private void decide(long nowUs, boolean isolated) {
        if (isolated) {
            return;
        }
        for (Peer peer : List.copyOf(suspects)) {
            boolean enough = peer.accusers.size() >= Math.min(ACCUSERS, others);
            long dueUs = Math.max(peer.sinceUs, peer.heardUs) + (enough ? 1 : 2) * timing.failAfterUs();
            if (nowUs >= dueUs && !peer.unreached) {
                act.count("fleet.failed");
                apply(nowUs, peer, peer.member.as(MemberState.FAILED, ""), "no answer to the suspicion of "
                        + String.join(", ", new java.util.TreeSet<>(peer.accusers)));
                spread(peer.member);
            }
        }
    }

    // ---- Messages ----

    /** A message that came; who sent it has shown that it has the fleet's key. */
    public void receive(long nowUs, Envelope from) {
        if (ended) {
            return;
        }
        if (!from.fleet().equals(fleet)) {
            act.count("fleet.refused.fleet");
            return;
        }
        if (from.boot() == self.boot()) {
            act.count("fleet.refused.own");
            return;
        }
        ReplayWindow window = proven.get(from.boot());
        if (window != null && !window.fresh(from.sequence())) {
            act.count("fleet.refused.repeat");
            return;
        }
        if (from.name().equals(self.name())) {
            namesake(nowUs, from);
            return;
        }
        if (window != null) {
            hear(nowUs, from);
        }
        if (from.message() instanceof Join join) {
            answer(from, join);
        } else if (from.message() instanceof Answer answer) {
            joined(nowUs, from, answer);
        } else if (from.message() instanceof Ping ping) {
            send(from.address(), new Ack(ping.nonce(), digest(), "", 0, newsFor(peers.get(from.name()))));
            take(nowUs, from, window, ping.news(), ping.digest());
        } else if (from.message() instanceof Ack ack) {
            answered(nowUs, from, ack, window);
        } else if (window == null) {
            challenge(from);
        } else if (from.message() instanceof Ask ask) {
            long nonce = nonce();
            asked.put(nonce, new Asked(Purpose.RELAY, ask.name(), from.address(), ask.nonce()));
            send(ask.address(), new Ping(nonce, digest(), newsFor(peers.get(ask.name()))));
        } else if (from.message() instanceof Digests digests) {
            compare(from.address(), digests);
        } else if (from.message() instanceof News news) {
            news.news().forEach(member -> learn(nowUs, member, from.name()));
        }
    }

    /** A life that has shown that it lives now. */
    private void hear(long nowUs, Envelope from) {
        heardAnyUs = nowUs;
        Peer peer = peers.get(from.name());
        if (peer != null && peer.member.boot() == from.boot()) {
            peer.heardUs = nowUs;
            peer.relayed = false;
        }
        if (unreached > 0 && self.state() != MemberState.JOINING) {
            List.copyOf(peers.values()).stream().filter(p -> p.unreached).forEach(p -> reach(nowUs, p, true));
            notePresent(nowUs);
        }
    }

    private void take(long nowUs, Envelope from, ReplayWindow window, List<Member> news, long digest) {
        if (window == null) {
            challenge(from);
            return;
        }
        news.forEach(member -> learn(nowUs, member, from.name()));
        if (self.state() == MemberState.JOINING) {
            return;
        }
        if (digest == digest()) {
            differsSinceUs = Long.MAX_VALUE;
        } else if (differsSinceUs == Long.MAX_VALUE) {
            differsSinceUs = nowUs;
        } else if (nowUs - differsSinceUs >= DIFFER_US) {
            differsSinceUs = nowUs;
            act.count("fleet.compared");
            send(from.address(), new Digests(parts(), true));
        }
    }

    /** Nothing is taken of a life that has not answered a nonce of this process: what came may be a repeat. */
    private void challenge(Envelope from) {
        long nonce = nonce();
        asked.put(nonce, new Asked(Purpose.CHALLENGE, from.name(), from.address(), 0));
        send(from.address(), new Ping(nonce, digest(), newsFor(peers.get(from.name()))));
    }

    private void answered(long nowUs, Envelope from, Ack ack, ReplayWindow window) {
        Asked what = asked.remove(ack.nonce());
        if (what == null) {
            act.count("fleet.refused.late");
            return;
        }
        boolean forAnother = !ack.of().isEmpty();
        if (forAnother) {
            Peer peer = peers.get(what.name());
            if (window != null && what.purpose() == Purpose.RELAYED && peer != null
                    && peer.member.boot() == ack.ofBoot()) {
                peer.heardUs = nowUs;
                peer.relayed = true;
            }
            return;
        }
        if (what.purpose() == Purpose.RELAY) {
            send(what.address(), new Ack(what.origin(), digest(), from.name(), from.boot(), List.of()));
        }
        boolean first = window == null;
        if (first) {
            proven.put(from.boot(), new ReplayWindow(from.sequence()));
            hear(nowUs, from);
        }
        take(nowUs, from, proven.get(from.boot()), ack.news(), ack.digest());
        boolean tried = first || what.purpose() == Purpose.CHALLENGE;
        if (tried && self.state() != MemberState.JOINING && ack.digest() != digest()
                && nowUs - comparedUs >= LEAST_COMPARE_US) {
            comparedUs = nowUs;
            send(from.address(), new Digests(parts(), true));
        }
    }

    private void compare(String address, Digests digests) {
        List<Member> differ = new ArrayList<>();
        if (digests.buckets().size() != Message.BUCKETS || self.state() == MemberState.JOINING) {
            return;
        }
        List<Long> own = parts();
        List<Member> all = new ArrayList<>(List.of(self));
        peers.values().forEach(p -> all.add(p.member));
        for (Member member : all) {
            int bucket = bucket(member);
            if (!own.get(bucket).equals(digests.buckets().get(bucket))) {
                differ.add(member);
            }
        }
        // Those that are there first: what is gone only ends a difference where the other still holds it to be there.
        differ.sort((a, b) -> a.state() != b.state() ? a.state().compareTo(b.state()) : a.name().compareTo(b.name()));
        // What is left out here is found by the next comparison; answers to joiners and pings go before it.
        for (int i = 0; i < differ.size() && budget >= KEPT_FOR_ANSWERS;) {
            int many = Message.fits(differ, i);
            send(address, new News(differ.subList(i, i + many)));
            i += many;
        }
        if (digests.answer()) {
            send(address, new Digests(own, false));
        }
    }

    // ---- Joining, and two processes under one name ----

    private void answer(Envelope from, Join join) {
        Member other = join.self();
        if (!other.name().equals(from.name()) || other.boot() != from.boot()) {
            act.count("fleet.refused.claim");
            return;
        }
        Peer peer = peers.get(other.name());
        Member holder = peer == null ? null : peer.member;
        boolean taken = holder != null && holder.state().present() && !peer.unreached && holder.boot() != other.boot()
                && !holder.address().equals(other.address());
        send(from.address(), new Answer(join.nonce(), !taken, holder, some()));
        if (taken) {
            act.count("fleet.refused.name");
        }
    }

    /** Some members that are there, drawn. */
    private List<Member> some() {
        List<Peer> there = new ArrayList<>(rings.get(0).values());
        List<Member> drawn = new ArrayList<>();
        while (drawn.size() < NAMED && !there.isEmpty()) {
            Peer peer = there.remove(random.nextInt(there.size()));
            if (!peer.unreached) {
                drawn.add(peer.member);
            }
        }
        return drawn.subList(0, Message.fits(drawn, 0));
    }

    private void joined(long nowUs, Envelope from, Answer answer) {
        Asked what = asked.remove(answer.nonce());
        if (what == null || what.purpose() != Purpose.JOIN) {
            act.count("fleet.refused.late");
            return;
        }
        proven.putIfAbsent(from.boot(), new ReplayWindow(from.sequence()));
        heardAnyUs = nowUs;
        if (self.state() != MemberState.JOINING || leftAtUs != Long.MAX_VALUE) {
            return;
        }
        Member holder = answer.holder();
        if (!answer.welcome() && holder != null) {
            stepBack(nowUs, holder);
            return;
        }
        if (holder != null && holder.name().equals(self.name()) && (holder.boot() != self.boot()
                || holder.state() != MemberState.ALIVE)) {
            raise(holder.incarnation());
        }
        enter(nowUs, "welcomed by " + from.name());
        answer.some().forEach(member -> learn(nowUs, member, from.name()));
        if (answer.some().isEmpty()) {
            send(from.address(), new Digests(parts(), true));
        } else {
            // What is known is asked of any member: a fleet that starts at once would ask it all of its seeds.
            Member one = answer.some().get(random.nextInt(answer.some().size()));
            long nonce = nonce();
            asked.put(nonce, new Asked(Purpose.CHALLENGE, one.name(), one.address(), 0));
            send(one.address(), new Ping(nonce, digest(), newsFor(peers.get(one.name()))));
        }
    }

    private void enter(long nowUs, String cause) {
        held = false;
        becomes(nowUs, MemberState.ALIVE, cause);
        heardAnyUs = nowUs;
        for (Peer peer : peers.values()) {
            peer.unreached = false;
            peer.heardUs = nowUs;
            peer.watched = false;
        }
        unreached = 0;
        watched.clear();
        former.clear();
        spread(self);
        notePresent(nowUs);
    }

    /** Another process has the name: this one is no member until that one is gone. */
    private void stepBack(long nowUs, Member holder) {
        if (!held) {
            held = true;
            act.count("fleet.stepped_back");
            act.say("name: " + self.name() + " is held by another process at " + holder.address()
                    + "; this one takes no part until that one is gone");
        }
        retries = 0;
        if (self.state() != MemberState.JOINING) {
            rumours.remove(self.name());
            becomes(nowUs, MemberState.JOINING, "the name is held at " + holder.address());
        }
    }

    /** A process under this one's name. It hears who has the name; who has the lower incarnation steps back. */
    private void namesake(long nowUs, Envelope from) {
        if (self.state() == MemberState.JOINING) {
            return;
        }
        if (from.message() instanceof Join join) {
            boolean moved = from.address().equals(self.address());
            send(from.address(), new Answer(join.nonce(), moved, self, List.of()));
        } else {
            send(from.address(), new News(List.of(self)));
        }
        act.count("fleet.refused.name");
    }

    /** A claim on this process itself, by somebody who is proven. */
    private void aboutSelf(long nowUs, Member claim) {
        if (self.state() == MemberState.JOINING || claim.incarnation() < self.incarnation()) {
            return;
        }
        boolean own = claim.boot() == self.boot();
        if (!own && claim.state().present() && !claim.address().equals(self.address())
                && claim.incarnation() > self.incarnation()) {
            stepBack(nowUs, claim);
            return;
        }
        if (!own || claim.state().compareTo(self.state()) > 0) {
            raise(claim.incarnation());
            version++;
            act.count("fleet.refuted");
            if (claim.state() == MemberState.FAILED) {
                act.say("held to be failed by others; incarnation is now " + self.incarnation());
            }
            spread(self);
        }
    }

    /** Raises this process's incarnation above one that was claimed. */
    void raise(long above) {
        toggle(self);
        self = self.raised(Math.max(self.incarnation(), above + 1));
        toggle(self);
    }

    private void becomes(long nowUs, MemberState state, String cause) {
        MemberState from = self.state();
        toggle(self);
        self = self.as(state, "");
        toggle(self);
        selfSinceUs = nowUs;
        selfCause = cause;
        version++;
        act.changed(new Change(nowUs, version, self, from, cause));
        notePresent(nowUs);
    }

    // ---- What is known of the others ----

    /** Whether a claim replaces another on the same name: a later incarnation, or of one life the later state. */
    boolean supersedes(Member claim, Member known) {
        if (claim.incarnation() != known.incarnation()) {
            return claim.incarnation() > known.incarnation();
        }
        return claim.sameLife(known) ? claim.state().compareTo(known.state()) > 0 : claim.boot() > known.boot();
    }

    private void learn(long nowUs, Member claim, String teller) {
        if (claim.name().equals(self.name())) {
            aboutSelf(nowUs, claim);
            return;
        }
        if (claim.state() == MemberState.JOINING) {
            act.count("fleet.refused.claim");
            return;
        }
        Peer peer = peers.get(claim.name());
        if (peer == null) {
            if (peers.size() >= MOST_MEMBERS && !forgetEldest()) {
                act.count("fleet.refused.room");
                return;
            }
            peer = new Peer();
            peers.put(claim.name(), peer);
            peer.heardUs = nowUs;
            apply(nowUs, peer, claim, "told by " + teller);
        } else if (supersedes(claim, peer.member)) {
            boolean restarted = claim.boot() != peer.member.boot() && claim.state().present();
            apply(nowUs, peer, claim, restarted ? "restarted, told by " + teller : "told by " + teller);
        } else if (claim.sameLife(peer.member) && claim.incarnation() == peer.member.incarnation()
                && claim.state() == MemberState.SUSPECT && peer.member.state() == MemberState.SUSPECT
                && peer.accusers.size() < ACCUSERS && peer.accusers.add(claim.by())) {
            spread(claim);
            return;
        } else {
            return;
        }
        spread(claim);
        if (claim.state() == MemberState.SUSPECT && !peer.watched && isChecker(peer)) {
            peer.checkUntilUs = nowUs + timing.failAfterUs() + timing.suspectAfterUs();
            peer.nextPingUs = nowUs;
            peer.watched = watched.add(peer);
            peer.heardUs = Math.min(peer.heardUs, nowUs - timing.suspectAfterUs() + 2 * timing.pingUs());
        }
    }

    private boolean forgetEldest() {
        Peer eldest = null;
        for (Peer peer : peers.values()) {
            if (!peer.present() && (eldest == null || peer.sinceUs < eldest.sinceUs)) {
                eldest = peer;
            }
        }
        return eldest != null && peers.remove(eldest.member.name()) != null;
    }

    /** For each suspect a few members look for themselves; which ones, all find alike. */
    private boolean isChecker(Peer suspect) {
        long of = Hash.of(suspect.member.name());
        long own = Hash.mix(of ^ Hash.of(self.name()));
        int before = 0;
        for (Peer peer : peers.values()) {
            if (peer != suspect && peer.present() && Hash.mix(of ^ Hash.of(peer.member.name())) < own) {
                before++;
            }
        }
        return before < CHECKERS;
    }

    private void apply(long nowUs, Peer peer, Member claim, String cause) {
        Member before = peer.member;
        if (before != null) {
            toggle(before);
            if (before.state().present() && !claim.state().present()) {
                place(peer, false);
                others--;
            }
        }
        if (claim.state().present() && (before == null || !before.state().present())) {
            peer.heardUs = Math.max(peer.heardUs, nowUs);
            others++;
            peer.member = claim;
            place(peer, true);
        }
        if (before != null && before.boot() != claim.boot()) {
            proven.remove(before.boot());
            peer.heardUs = nowUs;
        }
        peer.member = claim;
        peer.accusers.clear();
        suspects.remove(peer);
        if (claim.state() == MemberState.SUSPECT) {
            peer.accusers.add(claim.by());
            suspects.add(peer);
        }
        if (!claim.state().present() && peer.unreached) {
            peer.unreached = false;
            unreached--;
        }
        toggle(claim);
        MemberState from = before == null ? null : before.state();
        boolean restarted = before != null && before.boot() != claim.boot();
        if (from != claim.state() || restarted) {
            peer.sinceUs = nowUs;
            peer.cause = cause;
            version++;
            act.changed(new Change(nowUs, version, claim, from, cause));
            if (claim.state() == MemberState.LEFT && from != null && from.present()) {
                grown = Math.max(1, grown - 1);
            }
        }
        notePresent(nowUs);
    }

    private void place(Peer peer, boolean there) {
        for (int ring = 0; ring < RINGS; ring++) {
            long key = place(ring, peer.member.name());
            if (there) {
                rings.get(ring).put(key, peer);
            } else {
                rings.get(ring).remove(key);
            }
        }
    }

    private void notePresent(long nowUs) {
        int seen = self.state() == MemberState.JOINING || !self.state().present() ? 0 : 1 + others - unreached;
        grown = Math.max(grown, seen);
        Standing.Reach reach = Standing.reach(seen, agreedSize());
        if (reach != standing.reach() || seen != standing.seen() || agreedSize() != standing.of()) {
            standing = new Standing(reach, seen, agreedSize(),
                    reach == standing.reach() ? standing.sinceUs() : nowUs);
            act.standing(standing);
        }
    }

    // ---- Digest and news ----

    private static int bucket(Member member) {
        return (int) Math.floorMod(Hash.of(member.name()), (long) Message.BUCKETS);
    }

    private void toggle(Member member) {
        if (member.state().present()) {
            buckets[bucket(member)] ^= Hash.of(member);
        }
    }

    /** The digest's parts: where two gateways' differ, their views differ in members of that part. */
    public List<Long> parts() {
        List<Long> parts = new ArrayList<>();
        for (long bucket : buckets) {
            parts.add(bucket);
        }
        return parts;
    }

    private void spread(Member member) {
        int times = FAN_OUT * (Integer.SIZE - Integer.numberOfLeadingZeros(others + 2));
        boolean second = member.state() == MemberState.SUSPECT && rumours.containsKey(member.name())
                && !rumours.get(member.name()).member.by().equals(member.by());
        rumours.remove(second ? member.name() + "\0" + member.by() : member.name());
        rumours.put(second ? member.name() + "\0" + member.by() : member.name(), new Rumour(member, times));
    }

    /** What a message to a peer takes along: first what is claimed of itself, so that it can answer it. */
    private List<Member> newsFor(Peer peer) {
        if (self.state() == MemberState.JOINING) {
            return List.of();
        }
        List<Member> news = new ArrayList<>();
        if (peer != null && peer.member.state() != MemberState.ALIVE) {
            news.add(peer.member);
        }
        take(news);
        return news;
    }

    private void take(List<Member> news) {
        List<Map.Entry<String, Rumour>> queue = new ArrayList<>(rumours.entrySet());
        if (queue.size() > MOST_IN_TURN) {
            queue.sort((a, b) -> Integer.compare(b.getValue().left, a.getValue().left));
        }
        int bytes = news.stream().mapToInt(Message::size).sum();
        for (Map.Entry<String, Rumour> entry : queue) {
            Member member = entry.getValue().member;
            bytes += Message.size(member);
            if (news.size() >= Message.MOST_NEWS || bytes > Message.MOST_NEWS_BYTES) {
                break;
            }
            news.add(member);
            if (--entry.getValue().left <= 0) {
                rumours.remove(entry.getKey());
            }
        }
    }

    private void tellNews(long nowUs) {
        // Who has not proven this process takes no news from it, and proofs are mutual: the rest is lost on it.
        List<Peer> there = new ArrayList<>();
        List<Peer> strangers = new ArrayList<>();
        for (Peer peer : rings.get(0).values()) {
            if (!peer.unreached) {
                (proven.containsKey(peer.member.boot()) ? there : strangers).add(peer);
            }
        }
        for (int i = 0; i < FAN_OUT && there.size() + strangers.size() > 0 && !rumours.isEmpty(); i++) {
            List<Peer> among = there.isEmpty() ? strangers : there;
            Peer to = among.remove(random.nextInt(among.size()));
            List<Member> news = new ArrayList<>();
            take(news);
            send(to.member.address(), new News(news));
        }
        nextNewsUs = nowUs + NEWS_US;
    }

    private long nonce() {
        return random.nextLong();
    }

    /** Within the budget; pings go first by being sent first in a tick, and what is lost is told again. */
    private void send(String address, Message message) {
        if (budget < 1) {
            act.count("fleet.held_back");
            return;
        }
        budget -= 1;
        act.send(address, new Envelope(fleet, self.name(), self.boot(), self.incarnation(), self.address(), ++sequence,
                message));
    }

    /** Lives, questions, members and rumours kept, for the test that each is bounded. */
    List<Integer> kept() {
        return List.of(proven.size(), asked.size(), peers.size(), rumours.size());
    }
}
