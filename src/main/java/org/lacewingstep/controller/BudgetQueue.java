package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.PeerMessage.TokenAnswer;
import org.lacewingstep.blackboard.PeerMessage.TokenVerdict;
import org.lacewingstep.blackboard.TeamBudgetSection;
import org.lacewingstep.blackboard.TeamBudgetSection.SlotBudget;
import org.lacewingstep.blackboard.TeamBudgetSection.SlotKey;
import org.lacewingstep.blackboard.TeamBudgetSection.Waiting;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.TokenBucket;
import org.pcollections.PVector;

/** Answers questions for tokens, at once or when the tokens have accrued. */
final class BudgetQueue {
    /** The queue is looked at no more often than this. */
    private static final Duration SHORTEST_CHECK = Duration.ofMillis(5);

    private BudgetQueue() {}

    /**
     * Tells an asker that this process is not the home.
     *
     * @param board the blackboard, not null
     * @param waiting the question, not null
     * @param draft collects the answer, not null
     */
    static void answerNotHome(final Blackboard board, final Waiting waiting, final Draft draft) {
        send(board, waiting.asker(), notHome(waiting.question()), draft);
    }

    /**
     * Answers a question or lets it wait.
     *
     * @param board the blackboard, not null
     * @param sender the asker, not null
     * @param ask the question, not null
     * @param now the present time, not null
     * @return the section afterwards and the answer, never null
     */
    static Outcome<TeamBudgetSection> ask(
            final Blackboard board, final Incarnation sender, final PeerMessage.TokenAsk ask, final Instant now) {
        final SlotKey key = new SlotKey(ask.team(), ask.slot());
        final SlotBudget budget = board.teamBudgets().budgets().get(key);
        final Draft draft = new Draft();
        if (budget == null || !board.membership().mayAct(board.identity().incarnation(), now)) {
            send(board, sender, notHome(ask.question()), draft);
            return draft.outcome(board.teamBudgets());
        }
        final Instant oldest =
                now.minus(board.identity().policy().requestLimit().multipliedBy(2));
        final TokenBucket bucket = budget.bucket().refill(now).forgetBefore(oldest);
        final SlotBudget current = new SlotBudget(bucket, budget.waiting());
        final SlotBudget next = decide(board, sender, ask, current, draft, now);
        scheduleCheck(key, next, draft, now);
        return draft.outcome(board.teamBudgets().with(key, next));
    }

    private static SlotBudget decide(
            final Blackboard board,
            final Incarnation sender,
            final PeerMessage.TokenAsk ask,
            final SlotBudget budget,
            final Draft draft,
            final Instant now) {
        final TokenBucket bucket = budget.bucket();
        final long available = budget.waiting().isEmpty() ? (long) Math.floor(bucket.level()) : 0;
        final boolean some = ask.partial() && available > 0;
        if (available >= ask.tokens() || some) {
            final long given = Math.min(available, ask.tokens());
            send(board, sender, granted(ask.question(), given, bucket.nextDebit()), draft);
            return new SlotBudget(bucket.debit(given), budget.waiting());
        }
        final long ahead = budget.waiting().stream().mapToLong(Waiting::tokens).sum();
        final Duration wait = bucket.timeUntil((double) ahead + ask.tokens());
        if (wait.compareTo(ask.patience()) > 0) {
            send(board, sender, refused(ask.question(), wait), draft);
            return budget;
        }
        final Waiting waiting = new Waiting(sender, ask.question(), ask.tokens(), now.plus(ask.patience()));
        return new SlotBudget(bucket, budget.waiting().plus(waiting));
    }

    /**
     * Serves the questions that wait for one slot.
     *
     * @param board the blackboard, not null
     * @param key the slot, not null
     * @param budget its budget, not null
     * @param now the present time, not null
     * @return the section afterwards and the answers, never null
     */
    static Outcome<TeamBudgetSection> serve(
            final Blackboard board, final SlotKey key, final SlotBudget budget, final Instant now) {
        final Draft draft = new Draft();
        return draft.outcome(board.teamBudgets().with(key, drain(board, key, budget, draft, now)));
    }

    private static SlotBudget drain(
            final Blackboard board, final SlotKey key, final SlotBudget budget, final Draft draft, final Instant now) {
        TokenBucket bucket = budget.bucket().refill(now);
        PVector<Waiting> waiting = budget.waiting();
        final boolean mayAct = board.membership().mayAct(board.identity().incarnation(), now);
        while (!waiting.isEmpty()) {
            final Waiting first = waiting.get(0);
            if (mayAct && bucket.level() >= first.tokens()) {
                send(board, first.asker(), granted(first.question(), first.tokens(), bucket.nextDebit()), draft);
                bucket = bucket.debit(first.tokens());
            } else if (now.isBefore(first.until()) && mayAct) {
                break;
            } else {
                send(board, first.asker(), refused(first.question(), bucket.timeUntil(first.tokens())), draft);
            }
            waiting = waiting.minus(0);
        }
        final SlotBudget next = new SlotBudget(bucket, waiting);
        scheduleCheck(key, next, draft, now);
        return next;
    }

    private static void scheduleCheck(
            final SlotKey key, final SlotBudget budget, final Draft draft, final Instant now) {
        if (budget.waiting().isEmpty()) {
            return;
        }
        final Waiting first = budget.waiting().get(0);
        final Instant ready = now.plus(budget.bucket().timeUntil(first.tokens()));
        final Instant due = ready.isBefore(first.until()) ? ready : first.until();
        final Instant earliest = now.plus(SHORTEST_CHECK);
        draft.add(new Effect.StartTimer(new TimerKey.TeamBudgetCheck(key), due.isBefore(earliest) ? earliest : due));
    }

    private static TokenAnswer granted(final long question, final long tokens, final long debit) {
        return new TokenAnswer(question, TokenVerdict.GRANTED, tokens, debit, Duration.ZERO);
    }

    private static TokenAnswer notHome(final long question) {
        return new TokenAnswer(question, TokenVerdict.NOT_HOME, 0, 0, Duration.ZERO);
    }

    private static TokenAnswer refused(final long question, final Duration retryAfter) {
        return new TokenAnswer(question, TokenVerdict.REFUSED, 0, 0, retryAfter);
    }

    private static void send(
            final Blackboard board, final Incarnation asker, final TokenAnswer answer, final Draft draft) {
        final Optional<Effect> send = PeerReply.to(board, asker, answer);
        send.ifPresent(draft::add);
    }
}
