package petrelstand.decision;

import java.util.List;

/**
 * Interface of the decision module: its types, the events that a host reports to it, and the actions that it asks of
 * the host.
 */
public final class Scheduling {
    private Scheduling() {}

    /**
     * Effect of executing a request twice: harmless, harmless within a {@link DedupGroup} and the repeat window, or
     * never allowed.
     */
    public enum Effect {
        REPEATABLE,
        KEYED,
        UNSAFE
    }

    /** Nodes that recognise a repeat of a keyed request among themselves: all, those of a zone, or those of a shard. */
    public enum DedupGroup {
        ALL,
        ZONE,
        SHARD
    }

    /** How changes of the node list reach a host: without being asked, or only after a subscription. */
    public enum DiscoveryMode {
        PUSHED,
        ASKED
    }

    /** State of a node in the node list; only a ready node gets requests. */
    public enum NodeState {
        GONE,
        READY,
        DRAINING
    }

    /** Content of a node list event: changed entries, the full list, a list of an earlier run, or a failed call. */
    public enum NodeListKind {
        CHANGES,
        FULL,
        CACHED,
        FAILED
    }

    /** How an attempt ended. OVER: the node rejected it because the request is already over. */
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

        /** True unless the time is up or the request is over, where another attempt cannot help. */
        public boolean isRetryable() {
            return this != TIMED_OUT && this != OVER;
        }

        /** False if the outcome proves that the request did not reach the node whole. */
        public boolean reachedNode() {
            return this != NOT_CONNECTED && this != NOT_SENT;
        }

        /** True if the outcome proves that the node did none of the request's work. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * A class of requests.
     *
     * @param name name in the settings
     * @param aimMs latency objective: an answer within it earns the full worth
     * @param aimStretch multiple of a request's own work by which its aim is longer; not used by the module
     * @param deadlineMs time after which a client gives up
     * @param worth value of an answer within the aim
     * @param lateWorth fraction of the worth that an answer after the aim earns
     * @param effect effect of a repeated execution
     * @param group nodes that drop repeats of a keyed request
     * @param repeatWindowMs time within which these nodes recognise a repeat
     * @param ordered true if requests of one key run one at a time
     * @param streamed true if answers are streamed; not used by the module
     * @param writes true if requests of the class change data; not used by the module
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
            requireAtLeast(name, "aim", aimMs, 0);
            requireAtLeast(name, "deadline", deadlineMs, 0);
            requirePresent(name, "effect", effect);
            requirePresent(name, "group", group);
        }
    }

    /**
     * Service plan of a volume. Rates are in units per second, bursts in units, each per volume over all hosts and
     * nodes.
     *
     * @param name name in the settings
     * @param rate rate of the volume's share
     * @param reserve guaranteed rate; 0 for none
     * @param weight weight among the plans; not used by the module
     * @param price factor of the worth of its requests
     * @param limit upper bound of the rate; 0 for none
     * @param limitBurst units that may pass the limit at once
     * @param limitSlack tolerance of the limit; not used by the module
     */
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
            requireAtLeast(name, "rate", rate, 0);
            requireAtLeast(name, "reserve", reserve, 0);
            requireAtLeast(name, "limit", limit, 0);
        }
    }

    /**
     * What a host may do, and the times of its connections.
     *
     * @param maxAttempts attempts per request, the first included
     * @param cancel true if attempts may be cancelled
     * @param probes true if nodes may be probed
     * @param peerMessages true if hosts may exchange messages
     * @param secondCopies true if a request may have several attempts in flight
     * @param retryAfter true if refusals may advise a wait
     * @param maxRetryAfterMs upper bound of that wait
     * @param connectTimeoutMs time allowed to open a connection to a node
     * @param idleCloseMs time after which an idle connection to a node closes
     */
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

    /**
     * Parameters of the rules that every host keeps; a negative value stands for one that the settings leave out.
     *
     * @param answerGraceMs time beyond a deadline within which a final answer still counts
     * @param drainGraceMs grace time of a draining node; not used by the module
     * @param askWithinMs time limit for asking for the node list; not used by the module
     * @param coldShare capacity of a node at its start, as a fraction of a warm node's
     * @param warmUpMs longest time that a node takes to warm up
     * @param fallMs overload period: span over which the load of a cold node is counted
     * @param fallMultiple multiple of a cold node's capacity that makes it fail if sent within one overload period
     * @param keyQuietMs time after an attempt of unknown effect in which no other request of its key is sent
     * @param freeFurther retries within the span that are free of the ratio
     * @param furtherShare retries allowed per request within the span
     * @param furtherSpanMs span over which retries and requests are counted
     */
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

    /**
     * Settings of a host. A digest of {@code toString()} is stored with the learned state: renaming this record, one
     * that it contains, or a component of them makes a new release discard the state of the former one.
     *
     * @param hosts number of hosts
     * @param index index of this host
     * @param zone zone of this host
     * @param tickMs granularity of the host's clock and timers
     * @param classes classes of requests; requests name one by index
     * @param plans plans; requests name one by index
     * @param discovery how changes of the node list arrive
     * @param may what this host may do
     * @param rules parameters of the rules
     * @param coldUnits units that a node bears in one overload period right after its start, from all hosts
     * @param meanUnits mean size of a request
     * @param mostUnits size of the largest request
     * @param shareWorth factor of the worth of a request that the volume's share covers
     * @param spareWorth factor of the worth of an excess request
     * @param meterMs period over which nodes measure the use of volumes; not used by the module
     * @param tellsOthers true if answers report units served through other hosts; not used by the module
     * @param loadNames names of the entries of a load report
     * @param zones names of the zones
     */
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
            requirePresent("settings", "classes", classes);
            requirePresent("settings", "plans", plans);
            requirePresent("settings", "load names", loadNames);
            classes = List.copyOf(classes);
            plans = List.copyOf(plans);
            loadNames = List.copyOf(loadNames);
            zones = List.copyOf(zones);
            requirePresent("settings", "discovery", discovery);
            requirePresent("settings", "capabilities", may);
            requirePresent("settings", "rules", rules);
            requireAtLeast("settings", "hosts", hosts, 1);
            requireAtLeast("settings", "classes", classes.size(), 1);
            requireAtLeast("settings", "plans", plans.size(), 1);
            requireAtLeast("settings", "attempts", may.maxAttempts(), 1);
            requireAtLeast("settings", "mean units", meanUnits, Double.MIN_NORMAL);
        }
    }

    /**
     * Entry of the node list.
     *
     * @param node number of the node
     * @param zone zone of the node
     * @param shard shard that the node holds
     * @param state state of the node
     * @param rating relative capacity of the node; not used by the module
     * @param upSinceMs start time of the node; 0 if long past
     */
    public record NodeEntry(long node, int zone, int shard, NodeState state, double rating, double upSinceMs) {
        /** First of the private shards, which only requests that name one use; new objects never go there. */
        public static final int FIRST_PRIVATE_SHARD = 1 << 20;
    }

    /**
     * A request that this host received.
     *
     * @param id identity of the request at this host
     * @param requestClass index of its class
     * @param plan index of its volume's plan
     * @param key key of the object; 0 for none
     * @param timeLeftMs time until the client's deadline
     * @param volume number of its volume
     * @param units work of the request
     * @param shard shard that has to serve it; -1 for a new object, which any node without a private shard may take
     * @param volumeHostCount number of hosts that serve the volume; 0 if not stated
     * @param clientRetry true if the client sent the request before
     * @param write true if the request changes data
     */
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
     * The end of an attempt.
     *
     * @param request request of the attempt
     * @param attempt number of the attempt within the request, from 0
     * @param outcome how the attempt ended
     * @param elapsedMs time since the attempt was sent
     * @param node node of the attempt
     * @param reportedUse 1 + the volume's usage in percent of its plan's rate; 0 if the node reported none
     * @param unitsViaOtherHosts units that the node served the volume through other hosts since its last answer here
     * @param requestClosed true if the request needs no final answer any more
     * @param load load report of the node, in the order of {@link Settings#loadNames}
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
     * What a host has learned of a node. Number and start time together identify the node.
     *
     * @param node number of the node
     * @param upSinceMs start time of the node
     * @param measuredSlots slots of the measured rate in the last {@link Policy#RATE_SPAN_MS}
     * @param servedUnits units that the node served in these slots
     * @param window concurrency window, requests
     * @param latencyMs moving average of its latency
     * @param coldSentUnits units sent to it in the last overload period
     * @param silentMs silence beyond its latency; 0 for a node that is neither silent nor suspect
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
     * What a host has learned of a volume.
     *
     * @param volume number of the volume
     * @param plan index of its plan
     * @param hostCount number of hosts that serve the volume
     * @param localFraction fraction of the volume's usage that passes through this host
     * @param limitLevel level of its limit's bucket, units
     * @param reserveLevel level of its reserve's bucket, units
     * @param shareLevel level of its share's bucket, units
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
     * What a host has learned of its nodes and volumes.
     *
     * @param atMs time of the levels
     * @param measuredSlots slots of the measured rate of all nodes together
     * @param servedUnits units that all nodes served in these slots
     * @param nodes what is known of each node
     * @param volumes what is known of each volume, least recently used first
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

        public static LearnedState empty(double atMs) {
            return new LearnedState(atMs, 0, 0, List.of(), List.of());
        }
    }

    /**
     * What a module holds for requests that have not ended; all 0 while no request is open.
     *
     * @param requests requests without an end
     * @param inFlight attempts that occupy the windows of the nodes, or whose clients still send the body
     * @param heldUnits units held in the limits of the volumes
     */
    public record ModuleLoad(int requests, int inFlight, double heldUnits) {
        /** The load of a module that holds nothing. */
        public static final ModuleLoad NONE = new ModuleLoad(0, 0, 0);
    }

    /** Events that a host reports. Each call carries the time of the host's clock, which never goes back. */
    public interface HostEvents {
        /** The node list or changes of it arrived; the entries are empty if a call failed. */
        void nodesListed(double nowMs, NodeListKind kind, List<NodeEntry> entries);

        /** A request arrived. It needs exactly one final answer before the client's deadline. */
        void requestReceived(double nowMs, Request request);

        /**
         * An attempt began to stream its answer. From here on its duration depends on the client and tells nothing
         * about the node.
         */
        void streamStarted(double nowMs, long request, int attempt);

        /**
         * The request's attempt began to pass the body on to its node while the client sends it. No other attempt can
         * follow, and the host gives the final answer by the client's deadline.
         */
        default void requestBodyStarted(double nowMs, long request) {}

        /** The client has sent the last byte of such a body. The node can begin the request once it has that byte. */
        default void requestBodyReceived(double nowMs, long request) {}

        /** The last byte of a request's attempt was written to its node. */
        default void requestWritten(double nowMs, long request) {}

        /** An attempt ended. */
        void attemptEnded(double nowMs, AttemptEnd end);

        /** The client left; the request needs no final answer. */
        void clientGone(double nowMs, long request);

        /** A probe of a node ended. */
        default void probeEnded(double nowMs, long node, double elapsedMs, Outcome outcome, List<Double> load) {}

        /** A timer of {@link HostActions#setTimer} is due. */
        void timerFired(double nowMs, long token);

        /** A message of another host arrived. */
        default void peerMessageReceived(double nowMs, int sender, byte[] message) {}

        /**
         * Replaces the settings. Classes keep their index, open requests keep their class and never get more attempts
         * than when they arrived, and the learned state stays.
         */
        default void applySettings(double nowMs, Settings changed) {}

        /**
         * Sets the part of this host's cold-node budgets and volume limits that this process may spend: 1 usually, less
         * while a second process of the same host spends too, and 0 until that process knows of this one.
         */
        default void setBudgetShare(double nowMs, double part) {}

        /** Returns what the module has learned; changes no decision. */
        default LearnedState learnedState(double nowMs) {
            return LearnedState.empty(nowMs);
        }

        /** Returns what the module holds for open requests; changes no decision. */
        default ModuleLoad load() {
            return ModuleLoad.NONE;
        }

        /**
         * Restores what an earlier run learned, each value already weighed by its age and bounded. Must come before the
         * first node list: a node that the list does not name with the same start time is forgotten.
         */
        default void restore(double nowMs, LearnedState learned) {}
    }

    /** Actions that the decision module asks of its host. */
    public interface HostActions {
        /** Sends the next attempt of a request to a node; a timeout of 0 means the client's deadline. */
        void send(long request, long node, double timeoutMs);

        /** Final answer: refused, so that a new try is harmless. The wait is advice to the client, 0 for none. */
        void refuse(long request, double retryAfterMs);

        /** Final answer: failed, so that the request may or may not have had its effect. */
        void fail(long request);

        /** Cancels an attempt. */
        void cancel(long request, int attempt);

        /** Sends one probe to a node. */
        void probe(long node);

        /** Sets a timer, which fires once with the token. */
        void setTimer(double atMs, long token);

        /** Subscribes to changes of the node list; needed with discovery ASKED only. */
        void subscribeToNodes();

        /** Sends a short message to another host, or to all others if the recipient is negative. */
        void sendPeerMessage(int recipient, byte[] message);
    }

    private static void requireAtLeast(String owner, String name, double value, double min) {
        if (!(value >= min) || Double.isInfinite(value)) {
            throw new IllegalArgumentException(owner + ": " + name + " must be at least " + min + ", not " + value);
        }
    }

    private static void requirePresent(String owner, String name, Object value) {
        if (value == null) {
            throw new IllegalArgumentException(owner + ": " + name + " is missing");
        }
    }
}
