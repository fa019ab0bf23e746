package petrelstand.decision;

import java.util.List;

/** The decision module's interface: the types, the events a host reports, and the actions it carries out. */
public final class Scheduling {
    private Scheduling() {}

    /** What a repeated execution of a request of a class would do. */
    public enum Effect {
        REPEATABLE,
        KEYED,
        UNSAFE
    }

    /** The nodes that drop repeats of a keyed request together: all, those of one zone, or those of one shard. */
    public enum DedupGroup {
        ALL,
        ZONE,
        SHARD
    }

    /** How a host learns of changes to the node list. */
    public enum DiscoveryMode {
        PUSHED,
        ASKED
    }

    /** State of a node as listed. */
    public enum NodeState {
        GONE,
        READY,
        DRAINING
    }

    /** What a node-list event carries: changes, the whole list, the list kept from earlier, or a failed call. */
    public enum NodeListKind {
        CHANGES,
        FULL,
        CACHED,
        FAILED
    }

    /**
     * How an attempt ended; OVER: the node turned it away because the request is over, so that no other can do better.
     */
    public enum Outcome {
        SERVED(false),
        ERROR(false),
        REJECTED(true),
        TIMED_OUT(false),
        NOT_CONNECTED(true),
        RESET(false),
        CANCELLED(false),
        NOT_SENT(true),
        OVER(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /**
         * True where another attempt may do better: not where the time is up, or the node knows that the request is
         * over.
         */
        public boolean isRetryable() {
            return this != TIMED_OUT && this != OVER;
        }

        /** True where the outcome proves that the node did none of the request's work. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * A class of requests. {@code aimMs} is the time within which an answer earns full worth, {@code aimStretch} the
     * multiple of a request's own work by which its aim is longer, {@code lateWorth} the share of worth that an answer
     * after the aim earns, and {@code ordered} says that requests on one key run one at a time.
     */
    public record RequestClass(
            String name,
            double aimMs,
            double aimStretch,
            double deadlineMs,
            double worth,
            double lateWorth,
            Effect effect,
            DedupGroup group,
            double repeatWindowMs,
            boolean ordered,
            boolean streamed,
            boolean writes) {
        public RequestClass {
            atLeast(name, "aim", aimMs, 0);
            atLeast(name, "deadline", deadlineMs, 0);
            present(name, "effect", effect);
            present(name, "group", group);
        }
    }

    /** A plan; its figures hold per volume over all hosts and nodes. A limit of 0 is none. */
    public record Plan(
            String name,
            double rate,
            double reserve,
            double weight,
            double price,
            double limit,
            double limitBurst,
            double limitSlack) {
        public Plan {
            atLeast(name, "rate", rate, 0);
            atLeast(name, "reserve", reserve, 0);
            atLeast(name, "limit", limit, 0);
        }
    }

    /** What the site allows, and the times of its connections. */
    public record Capabilities(
            int maxAttempts,
            boolean cancel,
            boolean probes,
            boolean peerMessages,
            boolean secondCopies,
            boolean retryAfter,
            double maxRetryAfterMs,
            double connectTimeoutMs,
            double idleCloseMs) {}

    /** The figures of the rules; a negative figure is one the site does not state. */
    public record Rules(
            double answerGraceMs,
            double drainGraceMs,
            double askWithinMs,
            double coldShare,
            double warmUpMs,
            double fallMs,
            double fallMultiple,
            double keyQuietMs,
            double freeFurther,
            double furtherShare,
            double furtherSpanMs) {}

    /** What a start tells a host: its place, the classes and plans, and what the site allows and asks. */
    public record Settings(
            int hosts,
            int index,
            int zone,
            double tickMs,
            List<RequestClass> classes,
            List<Plan> plans,
            DiscoveryMode discovery,
            Capabilities may,
            Rules rules,
            double coldUnits,
            double meanUnits,
            double mostUnits,
            double shareWorth,
            double spareWorth,
            double meterMs,
            boolean tellsOthers,
            List<String> loadNames,
            List<String> zones) {
        public Settings {
            present("settings", "classes", classes);
            present("settings", "plans", plans);
            present("settings", "load names", loadNames);
            classes = List.copyOf(classes);
            plans = List.copyOf(plans);
            loadNames = List.copyOf(loadNames);
            zones = List.copyOf(zones);
            present("settings", "discovery", discovery);
            present("settings", "capabilities", may);
            present("settings", "rules", rules);
            atLeast("settings", "hosts", hosts, 1);
            atLeast("settings", "classes", classes.size(), 1);
            atLeast("settings", "plans", plans.size(), 1);
            atLeast("settings", "attempts", may.maxAttempts(), 1);
            atLeast("settings", "mean units", meanUnits, Double.MIN_NORMAL);
        }
    }

    /** A line of the node list. A start time of 0 means long past. */
    public record NodeEntry(long node, int zone, int shard, NodeState state, double rating, double upSinceMs) {
        /** Shards from here on are private: only a request that names one goes there, a new object never does. */
        public static final int FIRST_PRIVATE_SHARD = 1 << 20;
    }

    /** A request taken by this host. A shard of -1 is a new object, which any node may take. */
    public record Request(
            long id,
            int requestClass,
            int plan,
            long key,
            double timeLeftMs,
            long volume,
            double units,
            int shard,
            int volumeHostCount,
            boolean clientRetry,
            boolean write) {}

    /**
     * The end of an attempt. {@code seenUse} is 1 + the volume's use in percent of its plan's rate (0: not told),
     * {@code fromOthers} the units the node served the volume through other hosts since its last answer here, and
     * {@code over} says that the request is closed.
     */
    public record AttemptEnd(
            long request,
            int attempt,
            Outcome outcome,
            double elapsedMs,
            long node,
            int reportedUse,
            int unitsViaOtherHosts,
            boolean requestClosed,
            List<Double> load) {}

    /**
     * What a host has learned of a node, under the node's identity: its number and start time. {@code slots} and
     * {@code served} are the measured slots of the last ten seconds and the units in them, {@code coldSent} the units
     * sent within the rule's time on cold nodes, {@code silentMs} is how much longer than usual the node has been
     * silent or suspect (0: neither).
     */
    public record LearnedNode(
            long node,
            double upSinceMs,
            double measuredSlots,
            double servedUnits,
            double window,
            double latencyMs,
            double coldSentUnits,
            double silentMs) {}

    /**
     * What a host has learned of a volume: its plan by place, its set of hosts, this host's part of its use, and the
     * levels of its stores at the time of the whole, in units.
     */
    public record LearnedVolume(
            long volume,
            int plan,
            int hostCount,
            double localFraction,
            double limitLevel,
            double reserveLevel,
            double shareLevel) {}

    /**
     * What a host has learned at a time: the measured slots and units of all nodes together, then each node, and each
     * volume, the one longest unused first.
     */
    public record LearnedState(
            double atMs,
            double measuredSlots,
            double servedUnits,
            List<LearnedNode> nodes,
            List<LearnedVolume> volumes) {
        public LearnedState {
            nodes = List.copyOf(nodes);
            volumes = List.copyOf(volumes);
        }

        /** Nothing learned. */
        public static LearnedState empty(double atMs) {
            return new LearnedState(atMs, 0, 0, List.of(), List.of());
        }
    }

    /** What happens to a host. Every call carries the host's clock, which never goes back. */
    public interface HostEvents {
        /** The node list, or changes to it; entries are empty where a call failed. */
        void nodesListed(double nowMs, NodeListKind kind, List<NodeEntry> entries);

        /** A request was taken: exactly one final answer is owed before the client's time is up. */
        void requestReceived(double nowMs, Request request);

        /**
         * A stream began, of an answer or of a body to its node: the attempt belongs to the client from here on, and
         * how long it is out tells nothing of its node.
         */
        void streamStarted(double nowMs, long request, int attempt);

        /** An attempt's last byte was written to its node. */
        default void requestWritten(double nowMs, long request) {}

        /** An attempt ended. */
        void attemptEnded(double nowMs, AttemptEnd end);

        /** The client is gone; nothing more is owed for the request. */
        void clientGone(double nowMs, long request);

        /** A probe came back. */
        default void probeEnded(double nowMs, long node, double elapsedMs, Outcome outcome, List<Double> load) {}

        /** A timer set by {@link Callbacks#setTimer} is due. */
        void timerFired(double nowMs, long token);

        /** Another host sent a message. */
        default void peerMessageReceived(double nowMs, int sender, byte[] message) {}

        /**
         * Other settings from now on; a class keeps its place. What is open keeps the class and the attempts that it
         * came with, and what was learned stays.
         */
        default void applySettings(double nowMs, Settings changed) {}

        /**
         * The part of this host's due at cold nodes and of volumes' limits that this process may spend: below 1 where a
         * second process spends in the host's name too, 0 while another may not know of this one yet.
         */
        default void setBudgetShare(double nowMs, double part) {}

        /** What the module has learned, as plain figures; a look that changes nothing. */
        default LearnedState learnedState(double nowMs) {
            return LearnedState.empty(nowMs);
        }

        /**
         * Takes over what an earlier run learned, each figure already weighed by its age and bounded. Only before the
         * first node list: a node that this list does not name with the same start time is forgotten.
         */
        default void restore(double nowMs, LearnedState learned) {}
    }

    /** What the decision module asks of its host. */
    public interface HostActions {
        /** Sends the next attempt of a request to a node; a time-out of 0 lasts until the client quits. */
        void send(long request, long node, double timeoutMs);

        /** Final answer: not run, trying again is harmless; the wait is advice, 0 for none. */
        void refuse(long request, double retryAfterMs);

        /** Final answer: failed, nothing is promised about its effect. */
        void fail(long request);

        /** Stops waiting for an attempt. */
        void cancel(long request, int attempt);

        /** Asks for one probe of a node. */
        void probe(long node);

        /** Asks for a timer event at a time. */
        void setTimer(double atMs, long token);

        /** Subscribes to changes of the node list, where it must be asked. */
        void subscribeToNodes();

        /** Sends a short message to one other host, or to all where the recipient is negative. */
        void sendPeerMessage(int recipient, byte[] message);
    }

    private static void atLeast(String owner, String what, double value, double least) {
        if (!(value >= least) || Double.isInfinite(value)) {
            throw new IllegalArgumentException(owner + ": " + what + " must be at least " + least + ", not " + value);
        }
    }

    private static void present(String owner, String what, Object value) {
        if (value == null) {
            throw new IllegalArgumentException(owner + ": " + what + " is missing");
        }
    }
}
