package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.PeerMessage.TokenResponse;
import org.lacewingstep.blackboard.PeerMessage.TokenVerdict;
import org.lacewingstep.blackboard.TeamBudgetSection;
import org.lacewingstep.blackboard.TeamBudgetSection.QueuedTokenRequest;
import org.lacewingstep.blackboard.TeamBudgetSection.SlotBudget;
import org.lacewingstep.blackboard.TeamBudgetSection.SlotKey;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.TokenBucket;
import org.pcollections.PVector;

/** Responds to token requests, immediately or once enough tokens have accrued. */
final class TokenRequestQueue {
    /** Shortest delay before the next check of the queue. */
    private static final Duration MINIMUM_CHECK_INTERVAL = Duration.ofMillis(5);

    private TokenRequestQueue() {}

    /**
     * Responds to a token request that this process does not own the slot's shard.
     *
     * @param board the blackboard, not null
     * @param waiting the queued token request, not null
     * @param builder collects the response, not null
     */
    static void respondNotOwner(
            final Blackboard board, final QueuedTokenRequest waiting, final OutcomeBuilder builder) {
        send(board, waiting.requester(), notOwner(waiting.query()), builder);
    }

    /**
     * Grants, refuses or queues a token request.
     *
     * @param board the blackboard, not null
     * @param sender the process that sent the token request, not null
     * @param request the token request, not null
     * @param now the present time, not null
     * @return the updated budgets and the response, if any, never null
     */
    static Outcome<TeamBudgetSection> receive(
            final Blackboard board,
            final Incarnation sender,
            final PeerMessage.TokenRequest request,
            final Instant now) {
        final SlotKey key = new SlotKey(request.team(), request.slot());
        final SlotBudget budget = board.teamBudgets().budgets().get(key);
        final OutcomeBuilder builder = new OutcomeBuilder();
        if (budget == null
                || !board.membership().mayServeShards(board.identity().incarnation(), now)) {
            send(board, sender, notOwner(request.query()), builder);
            return builder.outcome(board.teamBudgets());
        }
        final Instant oldest =
                now.minus(board.identity().policy().requestLimit().multipliedBy(2));
        final TokenBucket bucket = budget.bucket().refill(now).discardDebitsBefore(oldest);
        final SlotBudget current = new SlotBudget(bucket, budget.waiting());
        final SlotBudget next = decide(board, sender, request, current, builder, now);
        scheduleCheck(key, next, builder, now);
        return builder.outcome(board.teamBudgets().with(key, next));
    }

    private static SlotBudget decide(
            final Blackboard board,
            final Incarnation sender,
            final PeerMessage.TokenRequest request,
            final SlotBudget budget,
            final OutcomeBuilder builder,
            final Instant now) {
        final TokenBucket bucket = budget.bucket();
        final long available = budget.waiting().isEmpty() ? (long) Math.floor(bucket.level()) : 0;
        final boolean partlyAvailable = request.partial() && available > 0;
        if (available >= request.tokens() || partlyAvailable) {
            final long tokens = Math.min(available, request.tokens());
            send(board, sender, granted(request.query(), tokens, bucket.nextDebit()), builder);
            return new SlotBudget(bucket.debit(tokens), budget.waiting());
        }
        final long queuedTokens =
                budget.waiting().stream().mapToLong(QueuedTokenRequest::tokens).sum();
        final Duration wait = bucket.timeUntil((double) queuedTokens + request.tokens());
        if (wait.compareTo(request.waitLimit()) > 0) {
            send(board, sender, refused(request.query(), wait), builder);
            return budget;
        }
        final QueuedTokenRequest waiting =
                new QueuedTokenRequest(sender, request.query(), request.tokens(), now.plus(request.waitLimit()));
        return new SlotBudget(bucket, budget.waiting().plus(waiting));
    }

    /**
     * Serves the token requests that wait at one slot.
     *
     * @param board the blackboard, not null
     * @param key the key of the slot, not null
     * @param budget the budget of the slot, not null
     * @param now the present time, not null
     * @return the updated budgets and the responses, never null
     */
    static Outcome<TeamBudgetSection> serve(
            final Blackboard board, final SlotKey key, final SlotBudget budget, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        return builder.outcome(board.teamBudgets().with(key, serveQueue(board, key, budget, builder, now)));
    }

    private static SlotBudget serveQueue(
            final Blackboard board,
            final SlotKey key,
            final SlotBudget budget,
            final OutcomeBuilder builder,
            final Instant now) {
        TokenBucket bucket = budget.bucket().refill(now);
        PVector<QueuedTokenRequest> waiting = budget.waiting();
        final boolean mayServe =
                board.membership().mayServeShards(board.identity().incarnation(), now);
        while (!waiting.isEmpty()) {
            final QueuedTokenRequest first = waiting.get(0);
            if (mayServe && bucket.level() >= first.tokens()) {
                send(board, first.requester(), granted(first.query(), first.tokens(), bucket.nextDebit()), builder);
                bucket = bucket.debit(first.tokens());
            } else if (now.isBefore(first.until()) && mayServe) {
                break;
            } else {
                send(board, first.requester(), refused(first.query(), bucket.timeUntil(first.tokens())), builder);
            }
            waiting = waiting.minus(0);
        }
        final SlotBudget next = new SlotBudget(bucket, waiting);
        scheduleCheck(key, next, builder, now);
        return next;
    }

    private static void scheduleCheck(
            final SlotKey key, final SlotBudget budget, final OutcomeBuilder builder, final Instant now) {
        if (budget.waiting().isEmpty()) {
            return;
        }
        final QueuedTokenRequest first = budget.waiting().get(0);
        final Instant ready = now.plus(budget.bucket().timeUntil(first.tokens()));
        final Instant due = ready.isBefore(first.until()) ? ready : first.until();
        final Instant earliest = now.plus(MINIMUM_CHECK_INTERVAL);
        builder.add(new Effect.StartTimer(new TimerKey.TeamBudgetCheck(key), due.isBefore(earliest) ? earliest : due));
    }

    private static TokenResponse granted(final long query, final long tokens, final long debit) {
        return new TokenResponse(query, TokenVerdict.GRANTED, tokens, debit, Duration.ZERO);
    }

    private static TokenResponse notOwner(final long query) {
        return new TokenResponse(query, TokenVerdict.NOT_OWNER, 0, 0, Duration.ZERO);
    }

    private static TokenResponse refused(final long query, final Duration retryAfter) {
        return new TokenResponse(query, TokenVerdict.REFUSED, 0, 0, retryAfter);
    }

    private static void send(
            final Blackboard board,
            final Incarnation requester,
            final TokenResponse response,
            final OutcomeBuilder builder) {
        final Optional<Effect> effect = PeerMessages.to(board, requester, response);
        effect.ifPresent(builder::add);
    }
}
