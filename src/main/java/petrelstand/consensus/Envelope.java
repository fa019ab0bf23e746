package petrelstand.consensus;

import io.microraft.model.message.RaftMessage;
import petrelstand.agreement.RulesMessage;

/**
 * What goes from one gateway to another about rules: a voters' message or a talk, one of them null.
 *
 * @param generation of the sender's store: how often it has written, so that an old copy of a folder is told; 0 where
 *     it is no voter
 * @param epoch of the sender's votes: voters of different ones do not hear each other
 */
public record Envelope(
        String fleet,
        String sender,
        String senderAddress,
        long generation,
        long epoch,
        RaftMessage raftMessage,
        RulesMessage rulesMessage) {}
