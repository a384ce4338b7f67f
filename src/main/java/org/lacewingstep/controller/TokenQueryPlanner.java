package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.blackboard.TokenRequestSection;
import org.lacewingstep.blackboard.TokenRequestSection.TokenQuery;
import org.lacewingstep.blackboard.TokenRequestSection.TokenSearch;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.Shard;
import org.lacewingstep.domain.Team;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.TeamRange;
import org.lacewingstep.error.ErrorCode;

/**
 * Chooses the slots of a team's budget from which to request tokens next.
 *
 * <p>A small request queries one slot. A request that is large compared with a slot's capacity queries all slots at
 * once for equal parts, so that no slot's bucket overflows while another one is empty. Tokens still missing are then
 * requested from the slots that are not exhausted, and finally from one slot with permission to queue the query. If
 * this query fails as well, all granted tokens are refunded and the request is refused.
 */
final class TokenQueryPlanner {
    /**
     * A shard owner counts as unreachable if its response takes longer than the grant lifetime divided by this number,
     * not counting the wait limit of the query.
     */
    private static final int RESPONSE_TIMEOUT_DIVISOR = 4;

    /** A request is large if it needs more tokens than a slot's capacity divided by this number. */
    private static final int LARGE_REQUEST_DIVISOR = 32;

    private TokenQueryPlanner() {}

    /**
     * Queries the next slots, or refuses the request if no slot is left.
     *
     * @param board the blackboard, not null
     * @param section the token requests, not null
     * @param search the search for the tokens of the request, not null
     * @param builder collects the effects and follow-up events, not null
     * @param now the present time, not null
     * @return the updated token requests, never null
     */
    static TokenRequestSection queryNext(
            final Blackboard board,
            final TokenRequestSection section,
            final TokenSearch search,
            final OutcomeBuilder builder,
            final Instant now) {
        final List<Integer> open = openSlots(board, search, now);
        if (open.isEmpty()) {
            return queryWithWait(board, section, search, builder, now);
        }
        if (search.tried().isEmpty() && open.size() > 1 && isLarge(board, search)) {
            return queryAll(board, section, search, open, builder, now);
        }
        return query(board, section, search, open.getFirst(), search.missing(), Duration.ZERO, builder, now);
    }

    /**
     * Refunds all granted tokens and refuses the request.
     *
     * @param board the blackboard, not null
     * @param section the token requests, not null
     * @param search the search for the tokens of the request, not null
     * @param builder collects the effects and follow-up events, not null
     * @return the updated token requests, never null
     */
    static TokenRequestSection refuse(
            final Blackboard board,
            final TokenRequestSection section,
            final TokenSearch search,
            final OutcomeBuilder builder) {
        TokenRefunds.send(board, search.team(), search.debits(), search.debits().tokens(), builder);
        builder.add(new Event.TokensRefused(search.request(), search.refusal()));
        return section.without(search.request());
    }

    /**
     * Creates the refusal of a request when no shard owner of the team's budget responds.
     *
     * @return the refusal, never null
     */
    static Refusal ownersUnreachable() {
        return new Refusal(
                ErrorCode.HOME_UNREACHABLE, "no home of the team's budget can be reached", Duration.ofSeconds(1));
    }

    /**
     * Lists the slots that are not exhausted and have a reachable owner. The first slot depends on the request, so that
     * the slots drain evenly.
     */
    private static List<Integer> openSlots(final Blackboard board, final TokenSearch search, final Instant now) {
        final int first = Math.floorMod(search.request().hashCode(), TeamRange.SLOT_COUNT);
        final List<Integer> open = new ArrayList<>();
        for (int offset = 0; offset < TeamRange.SLOT_COUNT; offset++) {
            final int slot = (first + offset) % TeamRange.SLOT_COUNT;
            if (!search.exhausted().contains(slot)
                    && reachableOwner(board, search.team(), slot, now).isPresent()) {
                open.add(slot);
            }
        }
        return open;
    }

    private static boolean isLarge(final Blackboard board, final TokenSearch search) {
        final Team team = board.configuration().inForce().teams().get(search.team());
        return team != null
                && search.tokens()
                        > BudgetShare.of(team, board.identity().policy()).capacity() / LARGE_REQUEST_DIVISOR;
    }

    private static TokenRequestSection queryAll(
            final Blackboard board,
            final TokenRequestSection section,
            final TokenSearch search,
            final List<Integer> slots,
            final OutcomeBuilder builder,
            final Instant now) {
        TokenRequestSection next = section.with(search);
        long remaining = search.missing();
        for (int index = 0; index < slots.size(); index++) {
            final long part = remaining / (slots.size() - index);
            remaining -= part;
            final TokenSearch current = next.searches().get(search.request());
            next = query(board, next, current, slots.get(index), part, Duration.ZERO, builder, now);
        }
        return next;
    }

    private static TokenRequestSection queryWithWait(
            final Blackboard board,
            final TokenRequestSection section,
            final TokenSearch search,
            final OutcomeBuilder builder,
            final Instant now) {
        final Policy policy = board.identity().policy();
        final Duration longestWait = Duration.between(now, search.startedAt().plus(policy.grantLife()))
                .dividedBy(2);
        final Duration waitLimit =
                longestWait.compareTo(policy.admissionPatience()) < 0 ? longestWait : policy.admissionPatience();
        final boolean rateExceeded = search.refusal().code() == ErrorCode.RATE_EXCEEDED;
        if (rateExceeded && !search.waited() && waitLimit.isPositive()) {
            for (final int slot : search.exhausted()) {
                if (reachableOwner(board, search.team(), slot, now).isPresent()) {
                    return query(board, section, search, slot, search.missing(), waitLimit, builder, now);
                }
            }
        }
        return refuse(board, section, search, builder);
    }

    private static Optional<Member> reachableOwner(
            final Blackboard board, final TeamName team, final int slot, final Instant now) {
        final Duration peerTimeout = board.identity().policy().peerSilenceLimit();
        return board.membership()
                .shardOwner(new Shard.TeamShard(TeamRange.rangeOf(team), slot))
                .filter(member -> board.membership()
                        .isReachable(member.incarnation(), board.identity().incarnation(), peerTimeout, now));
    }

    private static TokenRequestSection query(
            final Blackboard board,
            final TokenRequestSection section,
            final TokenSearch search,
            final int slot,
            final long tokens,
            final Duration waitLimit,
            final OutcomeBuilder builder,
            final Instant now) {
        final Member shardOwner =
                reachableOwner(board, search.team(), slot, now).orElseThrow();
        final long number = section.nextQuery();
        builder.add(new Effect.SendToPeer(
                shardOwner,
                new PeerMessage.TokenRequest(number, search.team(), slot, tokens, waitLimit.isZero(), waitLimit)));
        final Duration responseTimeout = board.identity()
                .policy()
                .grantLife()
                .dividedBy(RESPONSE_TIMEOUT_DIVISOR)
                .plus(waitLimit);
        builder.add(new Effect.StartTimer(
                new TimerKey.TokenResponseTimeout(search.request(), number), now.plus(responseTimeout)));
        return section.addQuery(
                        new TokenQuery(number, search.request(), search.team(), slot, shardOwner.incarnation(), tokens))
                .with(search.withQuery(slot, waitLimit.isPositive()));
    }
}
