package petrelstand.members;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import petrelstand.members.Message.Gossip;

/** Spreads news as rumours: each is told a number of times that grows with the logarithm of the fleet's size. */
final class Dissemination {
    /** Members that news is told to in a round, and how often a round comes while there is news. */
    static final int FAN_OUT = 3;

    static final long ROUND_US = 100_000;
    /** With more rumours than that those told least go first. */
    private static final int MOST_IN_TURN = 6;

    /** News with how often it is still to be told. */
    private static final class Rumour {
        final Member member;
        int left;

        Rumour(Member member, int left) {
            this.member = member;
            this.left = left;
        }
    }

    private final MembershipView view;
    private final ProvenLives proven;
    private final Outbox outbox;
    private final SplittableRandom random;
    private final LinkedHashMap<String, Rumour> rumours = new LinkedHashMap<>();
    private long nextRoundUs;

    Dissemination(MembershipView view, ProvenLives proven, Outbox outbox, SplittableRandom random) {
        this.view = view;
        this.proven = proven;
        this.outbox = outbox;
        this.random = random;
    }

    int size() {
        return rumours.size();
    }

    void clear() {
        rumours.clear();
    }

    void forget(String name) {
        rumours.remove(name);
    }

    /** Begins to tell a claim; it takes the place of what was told of the member, but for a second accuser's. */
    void spread(Member member) {
        int times = FAN_OUT * (Integer.SIZE - Integer.numberOfLeadingZeros(view.others() + 2));
        String key = isSecondAccusation(member) ? member.name() + "\0" + member.accuser() : member.name();
        rumours.remove(key);
        rumours.put(key, new Rumour(member, times));
    }

    private boolean isSecondAccusation(Member member) {
        Rumour told = rumours.get(member.name());
        return member.state() == MemberState.SUSPECT
                && told != null
                && !told.member.accuser().equals(member.accuser());
    }

    /** What a message to a peer takes along: first what is claimed of itself, so that it can refute it. */
    List<Member> newsFor(Peer peer) {
        if (view.joining()) {
            return List.of();
        }
        List<Member> news = new ArrayList<>();
        if (peer != null && peer.member.state() != MemberState.ALIVE) {
            news.add(peer.member);
        }
        take(news);
        return news;
    }

    /** Fills a message up with rumours. */
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

    /** Tells a round where one is due. */
    void tick(long nowUs) {
        if (nowUs >= nextRoundUs && !rumours.isEmpty()) {
            tellRound(nowUs);
        }
    }

    /** Tells a few members drawn; those proven go first: who has not proven this process takes no news from it. */
    void tellRound(long nowUs) {
        List<Peer> known = new ArrayList<>();
        List<Peer> strangers = new ArrayList<>();
        for (Peer peer : view.rings().members()) {
            if (!peer.unreached) {
                (proven.contains(peer.member.bootId()) ? known : strangers).add(peer);
            }
        }
        for (int i = 0; i < FAN_OUT && known.size() + strangers.size() > 0 && !rumours.isEmpty(); i++) {
            List<Peer> among = known.isEmpty() ? strangers : known;
            Peer to = among.remove(random.nextInt(among.size()));
            List<Member> news = new ArrayList<>();
            take(news);
            outbox.send(to.address(), new Gossip(news));
        }
        nextRoundUs = nowUs + ROUND_US;
    }
}
