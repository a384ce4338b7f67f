package org.lacewingstep.controller;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.TokenDebits;
import org.lacewingstep.domain.TeamName;

/** Refunds unspent tokens to the shard owners that debited them. */
final class TokenRefunds {
    private TokenRefunds() {}

    /**
     * Sends refunds of unspent tokens, for the latest debits first.
     *
     * @param board the blackboard, not null
     * @param team the team, not null
     * @param debits the debits to be refunded, not null
     * @param unspent the number of tokens to refund
     * @param builder collects the refund messages, not null
     */
    static void send(
            final Blackboard board,
            final TeamName team,
            final TokenDebits debits,
            final long unspent,
            final OutcomeBuilder builder) {
        long remaining = unspent;
        for (final TokenDebits.Part part : debits.parts().reversed()) {
            final long share = Math.min(remaining, part.tokens());
            if (share > 0) {
                final PeerMessage message = new PeerMessage.TokenRefund(team, part.slot(), part.number(), share);
                PeerMessages.to(board, part.shardOwner(), message).ifPresent(builder::add);
                remaining -= share;
            }
        }
    }
}
