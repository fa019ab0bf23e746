package petrelstand.consensus;

import io.microraft.model.message.RaftMessage;
import petrelstand.agreement.RulesMessage;

/**
 * A message about rules between two gateways, or between an operator's tool and a gateway. Exactly one of
 * {@code raftMessage} and {@code rulesMessage} is not null.
 *
 * @param senderAddress where answers to a sender that is not in the fleet go
 * @param generation of the sender's files, a count of its writes by which an old copy of its folder is detected; 0 if
 *     the sender is not a voter
 * @param epoch of the sender's versions; voters ignore consensus messages of another epoch
 */
public record Envelope(
        String fleet,
        String sender,
        String senderAddress,
        long generation,
        long epoch,
        RaftMessage raftMessage,
        RulesMessage rulesMessage) {}
