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
 * The requests that this process answers.
 *
 * @param requests the state of each request, not null
 * @param retryCredit how many retries may be spent, a share of the requests received
 */
public record RequestSection(PMap<RequestIdentifier, RequestState> requests, double retryCredit) implements Section {
    /** Most retries that can be saved up. */
    public static final double RETRY_CREDIT_LIMIT = 10;

    /** The section of a process that starts. */
    public static final RequestSection INITIAL = new RequestSection(HashTreePMap.empty(), RETRY_CREDIT_LIMIT);

    /**
     * Replaces the state of a request.
     *
     * @param state the new state, not null
     * @return the section with it, never null
     */
    public RequestSection with(final RequestState state) {
        return new RequestSection(requests.plus(state.demand().request(), state), retryCredit);
    }

    /**
     * Forgets a request.
     *
     * @param request the request, not null
     * @return the section without it, never null
     */
    public RequestSection without(final RequestIdentifier request) {
        return new RequestSection(requests.minus(request), retryCredit);
    }

    /**
     * State of one request.
     *
     * @param demand what the caller asked for, not null
     * @param service the service, not null
     * @param team the team that pays, empty on routes open to all without a key
     * @param debits what the team's budget has given, not null
     * @param attempts how many attempts were numbered so far
     * @param everSent whether any part of the request may have reached an upstream
     * @param claimed whether the request's idempotency key was claimed for it
     * @param avoided upstreams that failed this request, not null
     * @param progress what the caller has received, not null
     * @param phase where the request stands, not null
     */
    public record RequestState(
            RequestDemand demand,
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
         * Begins a request.
         *
         * @param demand what the caller asked for, not null
         * @param service the service, not null
         * @param team the team that pays, empty if none does
         * @return the state, never null
         */
        public static RequestState begin(
                final RequestDemand demand, final ServiceName service, final Optional<TeamName> team) {
            return new RequestState(
                    demand,
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
         * Names the current attempt.
         *
         * @return the attempt, never null
         */
        public AttemptIdentifier attempt() {
            return new AttemptIdentifier(demand.request(), Math.max(1, attempts));
        }

        /**
         * Notes an upstream that failed the request.
         *
         * @param upstream the upstream, not null
         * @return the state, never null
         */
        public RequestState avoiding(final UpstreamName upstream) {
            return new RequestState(
                    demand,
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
         * @param next the phase, not null
         * @return the state, never null
         */
        public RequestState in(final Phase next) {
            return new RequestState(
                    demand, service, team, debits, attempts, everSent, claimed, avoided, progress, next);
        }

        /**
         * Numbers another attempt and moves the request to another phase.
         *
         * @param next the phase, not null
         * @return the state, never null
         */
        public RequestState nextAttempt(final Phase next) {
            return new RequestState(
                    demand,
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
         * Notes what the caller has received and whether an upstream may have.
         *
         * @param outputTokens tokens that the caller has received
         * @param sent whether any part of the request may have reached an upstream
         * @return the state, never null
         */
        public RequestState received(final long outputTokens, final boolean sent) {
            final Progress next = new Progress(outputTokens, progress.resumes());
            return new RequestState(
                    demand, service, team, debits, attempts, everSent || sent, claimed, avoided, next, phase);
        }

        /**
         * Counts a resumed stream.
         *
         * @return the state, never null
         */
        public RequestState resumed() {
            final Progress next = new Progress(progress.outputTokens(), progress.resumes() + 1);
            return new RequestState(demand, service, team, debits, attempts, everSent, claimed, avoided, next, phase);
        }

        /**
         * Notes that the idempotency key was claimed.
         *
         * @return the state, never null
         */
        public RequestState withClaim() {
            return new RequestState(demand, service, team, debits, attempts, everSent, true, avoided, progress, phase);
        }

        /**
         * Notes the debits.
         *
         * @param given the debits, not null
         * @return the state, never null
         */
        public RequestState with(final TokenDebits given) {
            return new RequestState(
                    demand, service, team, given, attempts, everSent, claimed, avoided, progress, phase);
        }
    }

    /**
     * What the caller has received so far.
     *
     * @param outputTokens tokens passed on
     * @param resumes how often the stream was resumed at the same upstream since the last attempt began
     */
    public record Progress(long outputTokens, int resumes) {
        /** Nothing received. */
        public static final Progress NONE = new Progress(0, 0);
    }

    /** Where a request stands. */
    public sealed interface Phase {
        /** Waits for tokens of its team. */
        record AwaitingTokens() implements Phase {}

        /** Waits until the home of any cell can be asked. */
        record AwaitingHome() implements Phase {}

        /**
         * Waits for room in a cell.
         *
         * @param cell the cell asked, not null
         * @param asked the cells asked so far, not null
         * @param queued whether the home has put the request into its queue
         */
        record AwaitingPlacement(CellName cell, PSet<CellName> asked, boolean queued) implements Phase {
            /**
             * Notes that the home has put the request into its queue.
             *
             * @return the phase, never null
             */
            public AwaitingPlacement inQueue() {
                return new AwaitingPlacement(cell, asked, true);
            }
        }

        /**
         * Has room, but its debits have aged in the queue and are taken anew.
         *
         * @param reservation the room it holds, not null
         */
        record RenewingTokens(Reservation reservation) implements Phase {}

        /**
         * Has room, and waits for the store to tell whether the call was made before.
         *
         * @param reservation the room it holds, not null
         */
        record Claiming(Reservation reservation) implements Phase {}

        /**
         * Runs at upstreams.
         *
         * @param reservation the room it holds, not null
         */
        record Running(Reservation reservation) implements Phase {}
    }
}
