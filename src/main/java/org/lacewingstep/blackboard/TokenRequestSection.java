package org.lacewingstep.blackboard;

import java.time.Instant;

import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.TeamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * What this process has asked of the homes of team budgets.
 *
 * @param searches the search for tokens of each request, not null
 * @param questions the open questions by number, not null
 * @param abandoned questions that are no longer waited for, whose late answers are given back, not null
 * @param nextQuestion the number of the next question
 */
public record TokenRequestSection(
        PMap<RequestIdentifier, Search> searches,
        PMap<Long, Question> questions,
        PMap<Long, Question> abandoned,
        long nextQuestion)
        implements HomeSection {
    /** The section of a process that starts. */
    public static final TokenRequestSection INITIAL =
            new TokenRequestSection(HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), 0);

    /** How many questions back an answer may be late and still be given back. */
    private static final long ABANDONED_LIMIT = 4096;

    /**
     * Stops to wait for an answer.
     *
     * @param question the question, not null
     * @return the section, never null
     */
    public TokenRequestSection abandon(final Question question) {
        final PMap<Long, Question> next =
                abandoned.minus(question.number() - ABANDONED_LIMIT).plus(question.number(), question);
        return new TokenRequestSection(searches, questions.minus(question.number()), next, nextQuestion);
    }

    /**
     * Notes that a question was answered.
     *
     * @param number the question's number
     * @return the section, never null
     */
    public TokenRequestSection answered(final long number) {
        return new TokenRequestSection(searches, questions.minus(number), abandoned.minus(number), nextQuestion);
    }

    /**
     * Counts the open questions of a request.
     *
     * @param request the request, not null
     * @return the number
     */
    public long openQuestions(final RequestIdentifier request) {
        return questions.values().stream()
                .filter(question -> question.request().equals(request))
                .count();
    }

    /**
     * Adds an open question.
     *
     * @param question the question, not null
     * @return the section, never null
     */
    public TokenRequestSection open(final Question question) {
        return new TokenRequestSection(
                searches, questions.plus(question.number(), question), abandoned, question.number() + 1);
    }

    /**
     * Replaces the search of a request.
     *
     * @param search the search, not null
     * @return the section, never null
     */
    public TokenRequestSection with(final Search search) {
        return new TokenRequestSection(searches.plus(search.request(), search), questions, abandoned, nextQuestion);
    }

    /**
     * Ends the search of a request.
     *
     * @param request the request, not null
     * @return the section, never null
     */
    public TokenRequestSection without(final RequestIdentifier request) {
        return new TokenRequestSection(searches.minus(request), questions, abandoned, nextQuestion);
    }

    /**
     * An open question.
     *
     * @param number its number, unique in this process
     * @param request the request, not null
     * @param team the team, not null
     * @param slot the slot asked
     * @param home the process asked, not null
     * @param tokens the tokens asked for
     */
    public record Question(
            long number, RequestIdentifier request, TeamName team, int slot, Incarnation home, long tokens) {}

    /**
     * The search for the tokens of one request.
     *
     * @param request the request, not null
     * @param team the team, not null
     * @param tokens the tokens needed
     * @param debits what the slots have given, not null
     * @param tried the slots asked so far, not null
     * @param exhausted the slots that gave less than they were asked for, not null
     * @param waited whether a slot was asked to let the question wait
     * @param refusal why tokens are missing, not null
     */
    public record Search(
            RequestIdentifier request,
            TeamName team,
            long tokens,
            TokenDebits debits,
            PSet<Integer> tried,
            PSet<Integer> exhausted,
            boolean waited,
            Refusal refusal) {
        /**
         * Counts the tokens still needed.
         *
         * @return the tokens
         */
        public long missing() {
            return tokens - debits.tokens();
        }

        /**
         * Gets when the first slot was asked.
         *
         * @return the time, never null
         */
        public Instant startedAt() {
            return debits.askedAt();
        }

        /**
         * Notes that a slot is asked.
         *
         * @param slot the slot
         * @param patient whether the question may wait there
         * @return the search, never null
         */
        public Search ask(final int slot, final boolean patient) {
            return new Search(request, team, tokens, debits, tried.plus(slot), exhausted, waited || patient, refusal);
        }

        /**
         * Notes that a slot has no more to give.
         *
         * @param slot the slot
         * @param reason why, not null
         * @return the search, never null
         */
        public Search exhaust(final int slot, final Refusal reason) {
            return new Search(request, team, tokens, debits, tried, exhausted.plus(slot), waited, reason);
        }

        /**
         * Notes tokens given.
         *
         * @param part the debit, not null
         * @return the search, never null
         */
        public Search give(final TokenDebits.Part part) {
            return new Search(request, team, tokens, debits.with(part), tried, exhausted, waited, refusal);
        }
    }
}
