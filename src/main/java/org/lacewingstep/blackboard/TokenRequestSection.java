package org.lacewingstep.blackboard;

import java.time.Instant;

import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.TeamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The token requests that this process has sent to the shard owners of team budgets.
 *
 * @param searches the search for tokens of each caller's request, not null
 * @param queries the open token requests by number, not null
 * @param abandoned timed-out or withdrawn token requests by number; tokens granted by a late response are refunded; not
 *     null
 * @param nextQuery the number of the next token request
 */
public record TokenRequestSection(
        PMap<RequestIdentifier, TokenSearch> searches,
        PMap<Long, TokenQuery> queries,
        PMap<Long, TokenQuery> abandoned,
        long nextQuery)
        implements ShardedSection {
    /** The initial section of a process. */
    public static final TokenRequestSection INITIAL =
            new TokenRequestSection(HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), 0);

    /** Number of most recent token requests among which abandoned ones are kept, so that late grants are refunded. */
    private static final long ABANDONED_WINDOW = 4096;

    /**
     * Moves an open token request to the abandoned ones.
     *
     * @param query the token request, not null
     * @return the updated section, never null
     */
    public TokenRequestSection abandonQuery(final TokenQuery query) {
        final PMap<Long, TokenQuery> next =
                abandoned.minus(query.number() - ABANDONED_WINDOW).plus(query.number(), query);
        return new TokenRequestSection(searches, queries.minus(query.number()), next, nextQuery);
    }

    /**
     * Removes a token request to which the response has arrived.
     *
     * @param number the number of the token request
     * @return the updated section, never null
     */
    public TokenRequestSection removeAnswered(final long number) {
        return new TokenRequestSection(searches, queries.minus(number), abandoned.minus(number), nextQuery);
    }

    /**
     * Counts the open token requests of a caller's request.
     *
     * @param request the caller's request, not null
     * @return the number of open token requests
     */
    public long openQueries(final RequestIdentifier request) {
        return queries.values().stream()
                .filter(query -> query.request().equals(request))
                .count();
    }

    /**
     * Adds an open token request.
     *
     * @param query the token request, not null
     * @return the updated section, never null
     */
    public TokenRequestSection addQuery(final TokenQuery query) {
        return new TokenRequestSection(searches, queries.plus(query.number(), query), abandoned, query.number() + 1);
    }

    /**
     * Replaces the search of a caller's request.
     *
     * @param search the new search, not null
     * @return the updated section, never null
     */
    public TokenRequestSection with(final TokenSearch search) {
        return new TokenRequestSection(searches.plus(search.request(), search), queries, abandoned, nextQuery);
    }

    /**
     * Removes the search of a caller's request.
     *
     * @param request the caller's request, not null
     * @return the updated section, never null
     */
    public TokenRequestSection without(final RequestIdentifier request) {
        return new TokenRequestSection(searches.minus(request), queries, abandoned, nextQuery);
    }

    /**
     * A token request sent to the shard owner of one slot.
     *
     * @param number the number of the token request, unique in this process
     * @param request the caller's request that needs the tokens, not null
     * @param team the team, not null
     * @param slot the slot of the team's budget
     * @param shardOwner the shard owner that the token request was sent to, not null
     * @param tokens the number of tokens requested
     */
    public record TokenQuery(
            long number, RequestIdentifier request, TeamName team, int slot, Incarnation shardOwner, long tokens) {}

    /**
     * The search for the tokens of one caller's request over the slots of its team's budget.
     *
     * @param request the caller's request, not null
     * @param team the team, not null
     * @param tokens the number of tokens needed
     * @param debits the debits granted so far, not null
     * @param tried the slots queried so far, not null
     * @param exhausted the slots that granted fewer tokens than requested or did not respond, not null
     * @param waited whether a token request was sent that may wait at its slot
     * @param refusal the refusal that the caller receives if tokens remain missing, not null
     */
    public record TokenSearch(
            RequestIdentifier request,
            TeamName team,
            long tokens,
            TokenDebits debits,
            PSet<Integer> tried,
            PSet<Integer> exhausted,
            boolean waited,
            Refusal refusal) {
        /**
         * Computes the number of tokens still needed.
         *
         * @return the number of tokens
         */
        public long missing() {
            return tokens - debits.tokens();
        }

        /**
         * Returns when the first slot was queried.
         *
         * @return the time, never null
         */
        public Instant startedAt() {
            return debits.requestedAt();
        }

        /**
         * Records that a token request is sent to a slot.
         *
         * @param slot the slot of the team's budget
         * @param mayWait whether the token request may wait at the slot
         * @return the updated search, never null
         */
        public TokenSearch withQuery(final int slot, final boolean mayWait) {
            return new TokenSearch(
                    request, team, tokens, debits, tried.plus(slot), exhausted, waited || mayWait, refusal);
        }

        /**
         * Records that a slot cannot grant more tokens.
         *
         * @param slot the slot of the team's budget
         * @param reason the refusal to report if tokens remain missing, not null
         * @return the updated search, never null
         */
        public TokenSearch withExhausted(final int slot, final Refusal reason) {
            return new TokenSearch(request, team, tokens, debits, tried, exhausted.plus(slot), waited, reason);
        }

        /**
         * Adds a granted debit.
         *
         * @param debit the granted debit, not null
         * @return the updated search, never null
         */
        public TokenSearch withGrant(final TokenDebits.Part debit) {
            return new TokenSearch(request, team, tokens, debits.with(debit), tried, exhausted, waited, refusal);
        }
    }
}
