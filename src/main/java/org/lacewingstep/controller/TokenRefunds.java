package org.lacewingstep.controller;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.TokenDebits;
import org.lacewingstep.domain.TeamName;

/** Gives unspent tokens back to the homes that debited them. */
final class TokenRefunds {
    private TokenRefunds() {}

    /**
     * Gives tokens back, the latest debits first.
     *
     * @param board the blackboard, not null
     * @param team the team, not null
     * @param debits the debits, not null
     * @param unspent the tokens to give back
     * @param draft collects the messages, not null
     */
    static void send(
            final Blackboard board,
            final TeamName team,
            final TokenDebits debits,
            final long unspent,
            final Draft draft) {
        long left = unspent;
        for (final TokenDebits.Part part : debits.parts().reversed()) {
            final long share = Math.min(left, part.tokens());
            if (share > 0) {
                final PeerMessage message = new PeerMessage.TokenRefund(team, part.slot(), part.number(), share);
                PeerReply.to(board, part.home(), message).ifPresent(draft::add);
                left -= share;
            }
        }
    }
}
