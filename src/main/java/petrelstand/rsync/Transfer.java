package petrelstand.rsync;

import java.nio.ByteBuffer;

/**
 * The message of a transfer's exchange; connects the client's session with the node's. It parses both directions to
 * know whether the transfer is complete. A transfer that has not started can be moved to another node.
 */
final class Transfer {
    /** A side of the relay. */
    interface RelayEnd {
        /** Writes the bytes and runs the callback when they are written; only then may the next call follow. */
        void relay(ByteBuffer bytes, Runnable onWritten);

        boolean isWriting();
    }

    /** The node's side. */
    interface NodeEnd extends RelayEnd {
        /** Called when both directions are complete and written. */
        void onTransferComplete();

        /** Starts reading the daemon's stream, since the arguments have been sent. */
        void startReading();
    }

    /** The client's side. */
    interface ClientEnd extends RelayEnd {
        /** Called for each attempt whose node has opened the module. */
        void onModuleOpened();
    }

    private final String module;
    private final ClientEnd client;
    private NodeEnd node;
    private TransferOptions options;
    private SenderReader sender;
    private ReceiverReader receiver;
    private MultiplexReader nodeStream;
    private RecordReader clientStream;

    Transfer(String module, ClientEnd client) {
        this.module = module;
        this.client = client;
    }

    String module() {
        return module;
    }

    /** Attaches a node that has opened the module. */
    void nodeOpened(NodeEnd end) {
        node = end;
        client.onModuleOpened();
    }

    /** Detaches the node when its session closes; a session that is not attached is ignored. */
    void nodeClosed(RelayEnd end) {
        if (node == end) {
            node = null;
        }
    }

    /** Starts the relay with the options that were parsed from the client's arguments. */
    void start(TransferOptions acceptedOptions) {
        options = acceptedOptions;
        sender = new SenderReader(acceptedOptions);
        receiver = new ReceiverReader(acceptedOptions);
        nodeStream = new MultiplexReader(acceptedOptions.pull() ? sender : receiver);
        clientStream = acceptedOptions.pull() ? receiver : sender;
    }

    /** Whether a node that has opened the module is attached. */
    boolean isModuleOpen() {
        return node != null;
    }

    /** Whether the client's arguments were accepted. */
    boolean isStarted() {
        return options != null;
    }

    /**
     * Parses bytes from the client and writes them to the node.
     *
     * @throws RecordReader.ProtocolException if they are not of the supported subset
     */
    void relayFromClient(ByteBuffer bytes, Runnable onWritten) {
        clientStream.feed(bytes);
        node.relay(bytes, onWritten);
    }

    /** Writes the client's arguments to the node unchanged, then starts reading the node's stream. */
    void relayArguments(ByteBuffer bytes, Runnable onWritten) {
        NodeEnd target = node;
        target.relay(bytes, () -> {
            target.startReading();
            onWritten.run();
        });
    }

    /**
     * Parses bytes from the node and writes them to the client.
     *
     * @throws RecordReader.ProtocolException if they are not of the supported subset
     */
    void relayFromNode(ByteBuffer bytes, Runnable onWritten) {
        nodeStream.feed(bytes);
        client.relay(bytes, onWritten);
    }

    /** Whether no byte of the node's stream has been relayed, not even the checksum seed. */
    boolean isNodeStreamAtStart() {
        return nodeStream == null || nodeStream.isAtStart();
    }

    /** Whether the node's stream is between two frames, so that an error frame can be inserted. */
    boolean isAtFrameBoundary() {
        return nodeStream != null && nodeStream.isAtFrameBoundary();
    }

    /** Call after each write: ends the transfer if both directions are complete and no write is in progress. */
    void completeIfDone() {
        if (node != null && isComplete() && !node.isWriting() && !client.isWriting()) {
            node.onTransferComplete();
        }
    }

    /** Whether both directions have reached the end of the protocol; an empty file list ends the transfer early. */
    boolean isComplete() {
        boolean emptyFileList = sender != null && sender.isDone() && sender.fileCount() == 0;
        return sender != null && sender.isDone() && (receiver.isDone() || emptyFileList);
    }
}
