package org.lacewingstep.blackboard;

import java.util.Optional;

import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.UpstreamName;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The open requests that this process serves.
 *
 * @param requests the state of each request, not null
 * @param retryCredits the number of retries that may be made now; each received request adds a fraction of a retry
 */
public record RequestSection(PMap<RequestIdentifier, RequestState> requests, double retryCredits) implements Section {
    /** Maximum retry credit that can accumulate, in retries. */
    public static final double RETRY_CREDIT_LIMIT = 10;

    /** The initial section of a process. */
    public static final RequestSection INITIAL = new RequestSection(HashTreePMap.empty(), RETRY_CREDIT_LIMIT);

    /**
     * Replaces the state of a request.
     *
     * @param state the new state, not null
     * @return the updated section, never null
     */
    public RequestSection with(final RequestState state) {
        return new RequestSection(requests.plus(state.parameters().request(), state), retryCredits);
    }

    /**
     * Removes a request.
     *
     * @param request the request, not null
     * @return the section without the request, never null
     */
    public RequestSection without(final RequestIdentifier request) {
        return new RequestSection(requests.minus(request), retryCredits);
    }

    /**
     * State of one request.
     *
     * @param parameters the parameters of the caller's request, not null
     * @param service the requested service, not null
     * @param team the team that pays, empty on routes open to all without a key
     * @param debits the debits from the team's budget for this request, not null
     * @param attempts the number of attempts started so far
     * @param everSent whether any part of the request may have reached an upstream
     * @param claimed whether the idempotency key was claimed in the store for this request
     * @param avoided upstreams that failed this request, not null
     * @param progress the output that the caller has received, not null
     * @param phase the current phase of the request, not null
     */
    public record RequestState(
            RequestParameters parameters,
            ServiceName service,
            Optional<TeamName> team,
            TokenDebits debits,
            int attempts,
            boolean everSent,
            boolean claimed,
            PSet<UpstreamName> avoided,
            Progress progress,
            Phase phase) {
        /**
         * Creates the state of a new request.
         *
         * @param parameters the parameters of the caller's request, not null
         * @param service the requested service, not null
         * @param team the team that pays, empty on routes open to all without a key
         * @return the initial state, never null
         */
        public static RequestState begin(
                final RequestParameters parameters, final ServiceName service, final Optional<TeamName> team) {
            return new RequestState(
                    parameters,
                    service,
                    team,
                    TokenDebits.NONE,
                    0,
                    false,
                    false,
                    HashTreePSet.empty(),
                    Progress.NONE,
                    new Phase.AwaitingTokens());
        }

        /**
         * Returns the identifier of the current attempt.
         *
         * @return the identifier, never null
         */
        public AttemptIdentifier attempt() {
            return new AttemptIdentifier(parameters.request(), Math.max(1, attempts));
        }

        /**
         * Adds an upstream to those that failed the request.
         *
         * @param upstream the upstream, not null
         * @return the updated state, never null
         */
        public RequestState withAvoided(final UpstreamName upstream) {
            return new RequestState(
                    parameters,
                    service,
                    team,
                    debits,
                    attempts,
                    everSent,
                    claimed,
                    avoided.plus(upstream),
                    progress,
                    phase);
        }

        /**
         * Moves the request to another phase.
         *
         * @param next the next phase, not null
         * @return the updated state, never null
         */
        public RequestState withPhase(final Phase next) {
            return new RequestState(
                    parameters, service, team, debits, attempts, everSent, claimed, avoided, progress, next);
        }

        /**
         * Counts a new attempt and moves the request to another phase.
         *
         * @param next the next phase, not null
         * @return the updated state, never null
         */
        public RequestState nextAttempt(final Phase next) {
            return new RequestState(
                    parameters,
                    service,
                    team,
                    debits,
                    attempts + 1,
                    everSent,
                    claimed,
                    avoided,
                    new Progress(progress.outputTokens(), 0),
                    next);
        }

        /**
         * Records the output received by the caller and whether the request may have reached an upstream.
         *
         * @param outputTokens number of tokens that the caller has received
         * @param sent whether any part of the request may have reached an upstream
         * @return the updated state, never null
         */
        public RequestState withProgress(final long outputTokens, final boolean sent) {
            final Progress next = new Progress(outputTokens, progress.resumes());
            return new RequestState(
                    parameters, service, team, debits, attempts, everSent || sent, claimed, avoided, next, phase);
        }

        /**
         * Counts one more resumption of the stream.
         *
         * @return the updated state, never null
         */
        public RequestState withResume() {
            final Progress next = new Progress(progress.outputTokens(), progress.resumes() + 1);
            return new RequestState(
                    parameters, service, team, debits, attempts, everSent, claimed, avoided, next, phase);
        }

        /**
         * Records that the idempotency key was claimed for the request.
         *
         * @return the updated state, never null
         */
        public RequestState withClaim() {
            return new RequestState(
                    parameters, service, team, debits, attempts, everSent, true, avoided, progress, phase);
        }

        /**
         * Replaces the debits of the request.
         *
         * @param nextDebits the new debits, not null
         * @return the updated state, never null
         */
        public RequestState with(final TokenDebits nextDebits) {
            return new RequestState(
                    parameters, service, team, nextDebits, attempts, everSent, claimed, avoided, progress, phase);
        }
    }

    /**
     * The output that the caller has received so far.
     *
     * @param outputTokens number of tokens sent to the caller
     * @param resumes how often the stream was resumed at the same upstream since the last attempt began
     */
    public record Progress(long outputTokens, int resumes) {
        /** The progress of a request without output. */
        public static final Progress NONE = new Progress(0, 0);
    }

    /** The phase of a request. */
    public sealed interface Phase {
        /** The request waits for tokens from its team's budget. */
        record AwaitingTokens() implements Phase {}

        /** The request waits until the shard owner of any cell is reachable. */
        record AwaitingHome() implements Phase {}

        /**
         * The request waits for a cell's shard owner to reserve capacity.
         *
         * @param cell the cell queried now, not null
         * @param triedCells the cells queried so far, not null
         * @param queued whether the shard owner has put the request into its queue
         */
        record AwaitingPlacement(CellName cell, PSet<CellName> triedCells, boolean queued) implements Phase {
            /**
             * Records that the shard owner has put the request into its queue.
             *
             * @return the updated phase, never null
             */
            public AwaitingPlacement asQueued() {
                return new AwaitingPlacement(cell, triedCells, true);
            }
        }

        /**
         * The request holds a reservation, but its debits expired in the queue and new ones are being requested.
         *
         * @param reservation the capacity reserved for the request, not null
         */
        record RenewingTokens(Reservation reservation) implements Phase {}

        /**
         * The request holds a reservation and waits for the claim of its idempotency key in the store.
         *
         * @param reservation the capacity reserved for the request, not null
         */
        record Claiming(Reservation reservation) implements Phase {}

        /**
         * The request runs at its upstreams.
         *
         * @param reservation the capacity reserved for the request, not null
         */
        record Running(Reservation reservation) implements Phase {}
    }
}
