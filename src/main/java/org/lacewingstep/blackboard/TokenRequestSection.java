package org.lacewingstep.blackboard;

import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.TeamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * What this process has asked of the homes of team budgets.
 *
 * @param pending the open questions by number, not null
 * @param byRequest the number of each request's open question, not null
 * @param abandoned questions that are no longer waited for, whose late answers are given back, not null
 * @param nextQuestion the number of the next question
 */
public record TokenRequestSection(
        PMap<Long, Pending> pending,
        PMap<RequestIdentifier, Long> byRequest,
        PMap<Long, Pending> abandoned,
        long nextQuestion)
        implements Section {
    /** The section of a process that starts. */
    public static final TokenRequestSection INITIAL =
            new TokenRequestSection(HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), 0);

    /** How many questions back an answer may be late and still be given back. */
    private static final long ABANDONED_LIMIT = 4096;

    /**
     * Forgets a question.
     *
     * @param question the question, not null
     * @return the section without it, never null
     */
    public TokenRequestSection without(final Pending question) {
        return new TokenRequestSection(
                pending.minus(question.question()), byRequest.minus(question.request()), abandoned, nextQuestion);
    }

    /**
     * Stops to wait for an answer.
     *
     * @param question the question, not null
     * @return the section, never null
     */
    public TokenRequestSection abandon(final Pending question) {
        final PMap<Long, Pending> next =
                abandoned.minus(question.question() - ABANDONED_LIMIT).plus(question.question(), question);
        return new TokenRequestSection(
                pending.minus(question.question()), byRequest.minus(question.request()), next, nextQuestion);
    }

    /**
     * Forgets an abandoned question.
     *
     * @param question its number
     * @return the section, never null
     */
    public TokenRequestSection forget(final long question) {
        return new TokenRequestSection(pending, byRequest, abandoned.minus(question), nextQuestion);
    }

    /**
     * Adds an open question.
     *
     * @param question the question, not null
     * @return the section, never null
     */
    public TokenRequestSection open(final Pending question) {
        return new TokenRequestSection(
                pending.plus(question.question(), question),
                byRequest.plus(question.request(), question.question()),
                abandoned,
                question.question() + 1);
    }

    /**
     * An open question.
     *
     * @param question its number, unique in this process
     * @param request the request, not null
     * @param team the team, not null
     * @param missing tokens still needed
     * @param debits what the slots have given, not null
     * @param slot the slot asked, or the first one to ask
     * @param home the process asked, empty before the first question
     * @param startedAt when the first slot was asked, not null
     * @param triedSlots the slots asked so far, not null
     * @param answeredSlot the slot that answered last, empty if none has
     * @param waited whether a slot was asked to let the question wait
     * @param refusal the most telling refusal so far, not null
     */
    public record Pending(
            long question,
            RequestIdentifier request,
            TeamName team,
            long missing,
            TokenDebits debits,
            int slot,
            Optional<Incarnation> home,
            Instant startedAt,
            PSet<Integer> triedSlots,
            Optional<Integer> answeredSlot,
            boolean waited,
            Refusal refusal) {
        /**
         * Notes that a slot is asked.
         *
         * @param number the question's number
         * @param asked the slot
         * @param process the home, not null
         * @param patient whether the question may wait there
         * @return the question, never null
         */
        public Pending ask(final long number, final int asked, final Incarnation process, final boolean patient) {
            return new Pending(
                    number,
                    request,
                    team,
                    missing,
                    debits,
                    asked,
                    Optional.of(process),
                    startedAt,
                    triedSlots.plus(asked),
                    answeredSlot,
                    waited || patient,
                    refusal);
        }

        /**
         * Notes an answer of the slot asked.
         *
         * @param given the debits so far, not null
         * @param reason why the rest was not given, not null
         * @return the question, never null
         */
        public Pending answered(final TokenDebits given, final Refusal reason) {
            return new Pending(
                    question,
                    request,
                    team,
                    missing + debits.tokens() - given.tokens(),
                    given,
                    slot,
                    home,
                    startedAt,
                    triedSlots,
                    Optional.of(slot),
                    waited,
                    reason);
        }
    }
}
