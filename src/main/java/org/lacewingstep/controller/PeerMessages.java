package org.lacewingstep.controller;

import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.domain.Incarnation;

/** Creates effects that send messages to this process or to other members. */
final class PeerMessages {
    private PeerMessages() {}

    /**
     * Creates the effect that sends a message.
     *
     * @param board the blackboard, not null
     * @param receiver the receiving process, not null
     * @param message the message, not null
     * @return the effect, empty if the receiver is not a member
     */
    static Optional<Effect> to(final Blackboard board, final Incarnation receiver, final PeerMessage message) {
        if (receiver.equals(board.identity().incarnation())) {
            return Optional.of(new Effect.SendToPeer(board.identity().member(), message));
        }
        return board.membership().member(receiver).map(member -> new Effect.SendToPeer(member, message));
    }
}
