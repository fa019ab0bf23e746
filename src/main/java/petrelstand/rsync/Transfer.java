package petrelstand.rsync;

import java.nio.ByteBuffer;

/**
 * The message of a transfer's exchange, where its client and its node meet: the module asked for, and once a node has
 * taken it, the two ends of the relay. It follows both directions and knows whether the transfer ended whole.
 */
final class Transfer {
    /** One end: takes bytes and says when they have left, which is when the next may come. */
    interface End {
        void relay(ByteBuffer bytes, Runnable left);

        boolean isWriting();
    }

    /** The node's end is told when the transfer has ended whole. */
    interface NodeEnd extends End {
        void finished();

        /** Goes on reading, after it had to wait. */
        void begin();
    }

    /** The client's end hears that a node has opened the module. */
    interface ClientEnd extends End {
        void taken();
    }

    private final String module;
    private final ClientEnd client;
    private NodeEnd node;
    private Options options;
    private SenderReader sender;
    private ReceiverReader receiver;
    private MuxReader fromNode;
    private RecordReader fromClient;

    Transfer(String module, ClientEnd client) {
        this.module = module;
        this.client = client;
    }

    String module() {
        return module;
    }

    /** A node has opened the module for it. */
    void opened(NodeEnd end) {
        node = end;
        client.taken();
    }

    /** The attempt ended; another may open it again as long as nothing was relayed. */
    void closed(End end) {
        if (node == end) {
            node = null;
        }
    }

    /** The arguments were read and lie within the subset. */
    void begin(Options taken) {
        options = taken;
        sender = new SenderReader(taken);
        receiver = new ReceiverReader(taken);
        fromNode = new MuxReader(taken.pull() ? sender : receiver);
        fromClient = taken.pull() ? receiver : sender;
    }

    /** A node has the module open. */
    boolean isOpen() {
        return node != null;
    }

    boolean begun() {
        return options != null;
    }

    /** Bytes from the client; throws where they are not the protocol's. */
    void up(ByteBuffer bytes, Runnable left) {
        fromClient.feed(bytes);
        node.relay(bytes, left);
    }

    /**
     * The client's arguments, as they came. The node is read from only when they have left: it may not speak sooner.
     */
    void upArguments(ByteBuffer bytes, Runnable left) {
        NodeEnd to = node;
        to.relay(bytes, () -> {
            to.begin();
            left.run();
        });
    }

    void down(ByteBuffer bytes, Runnable left) {
        fromNode.feed(bytes);
        client.relay(bytes, left);
    }

    /** True while nothing of the server's stream has passed, not even its seed. */
    boolean untouched() {
        return fromNode == null || fromNode.untouched();
    }

    /** True where the server's stream stands between frames, so that an error message can be put in. */
    boolean atFrame() {
        return fromNode != null && fromNode.atFrame();
    }

    /** To be called when a write has left: ends the transfer where nothing more is to come or to go. */
    void checkWhole() {
        if (node != null && whole() && !node.isWriting() && !client.isWriting()) {
            node.finished();
        }
    }

    /** True once both directions have come to the protocol's own end. */
    boolean whole() {
        boolean empty = sender != null && sender.done() && sender.files() == 0;
        return sender != null && sender.done() && (receiver.done() || empty);
    }
}
