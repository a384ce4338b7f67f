package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.domain.Demand;
import org.lacewingstep.domain.RegionName;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Route;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.ServiceUrgency;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.TokenDemand;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.Urgency;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The open calls that this instance serves by the platform's registry.
 *
 * @param calls the calls by request identifier, not null
 * @param passages the recent arrivals and ends of calls to services whose calls differ in urgency, oldest first, not
 *     null
 * @param demand what the other instances reported of such calls, not null
 * @param reserves the memory that calls leave free for more urgent ones, by service and urgency, not null
 */
public record CallSection(
        PMap<RequestIdentifier, Call> calls,
        PVector<Passage> passages,
        SiteDemand demand,
        PMap<ServiceUrgency, Reserve> reserves)
        implements ServingSection {
    /** The initial section of a process. */
    public static final CallSection INITIAL =
            new CallSection(HashTreePMap.empty(), TreePVector.empty(), SiteDemand.NONE, HashTreePMap.empty());

    /** Period over which arrivals and ends are counted; short enough to follow a burst. */
    public static final Duration PASSAGE_PERIOD = Duration.ofSeconds(2);

    /**
     * The arrival of a call, or the end of its use of memory.
     *
     * @param at when it happened, not null
     * @param urgency the service and the urgency of the call, not null
     * @param demand the memory that the call asked for or returned, not null
     */
    public record Passage(Instant at, ServiceUrgency urgency, Demand demand) {}

    /**
     * Replaces the calls.
     *
     * @param next the calls by request identifier, not null
     * @return the updated section, never null
     */
    public CallSection withCalls(final PMap<RequestIdentifier, Call> next) {
        return new CallSection(next, passages, demand, reserves);
    }

    /**
     * Adds a passage and drops those whose period is over; a clock that was set back drops none.
     *
     * @param passage the passage, not null
     * @return the updated section, never null
     */
    public CallSection withPassage(final Passage passage) {
        final Instant oldest = passage.at().minus(PASSAGE_PERIOD);
        PVector<Passage> next = passages;
        while (!next.isEmpty() && next.getFirst().at().isBefore(oldest)) {
            next = next.minus(0);
        }
        return new CallSection(calls, next.plus(passage), demand, reserves);
    }

    /**
     * Replaces the demand of the other instances.
     *
     * @param next the demand, not null
     * @return the updated section, never null
     */
    public CallSection withDemand(final SiteDemand next) {
        return new CallSection(calls, passages, next, reserves);
    }

    /**
     * Replaces the memory that calls leave free.
     *
     * @param next the reserves by service and urgency, not null
     * @return the updated section, never null
     */
    public CallSection withReserves(final PMap<ServiceUrgency, Reserve> next) {
        return new CallSection(calls, passages, demand, next);
    }

    /**
     * Returns the memory that a call of an urgency leaves free.
     *
     * @param urgency the service and the urgency, not null
     * @return the reserve, never null
     */
    public Reserve reserve(final ServiceUrgency urgency) {
        return reserves.getOrDefault(urgency, Reserve.NONE);
    }

    /**
     * The part of the memory of a service that calls of one urgency leave free.
     *
     * @param onTime the part that a call leaves free which can still be on time, from 0 to 1
     * @param late the part that a call leaves free which cannot, from 0 to 1
     */
    public record Reserve(double onTime, double late) {
        /** Nothing is left free. */
        public static final Reserve NONE = new Reserve(0, 0);
    }

    /**
     * A call whose response is not complete.
     *
     * @param parameters the parameters of the caller's request, not null
     * @param route the route that matches the call, not null
     * @param service the service that the call is sent to, not null
     * @param team the caller's team, empty on an open route
     * @param teamRegions the regions that the team allowed when the call was admitted, empty for all, not null
     * @param urgency how urgent the call is, not null
     * @param units number of units debited from the team
     * @param deadline latest time for the complete response, not null
     * @param attempts number of attempts made so far
     * @param tried upstreams that the call was sent to, not null
     * @param promptReadyAt when an upstream finished processing the prompt, empty if none has or if the result was used
     * @param mayHaveRun whether an upstream may have started to run the call
     * @param phase the current phase of the call, not null
     */
    public record Call(
            CallParameters parameters,
            Route route,
            ServiceName service,
            Optional<TeamName> team,
            Set<RegionName> teamRegions,
            Urgency urgency,
            long units,
            Instant deadline,
            int attempts,
            Set<UpstreamName> tried,
            Optional<Instant> promptReadyAt,
            boolean mayHaveRun,
            CallPhase phase) {
        /** Copies the sets. */
        public Call {
            teamRegions = Set.copyOf(teamRegions);
            tried = Set.copyOf(tried);
        }

        /**
         * Copies this call in another phase.
         *
         * @param next the next phase, not null
         * @return the copy, never null
         */
        public Call withPhase(final CallPhase next) {
            return with(attempts, tried, promptReadyAt, mayHaveRun, next);
        }

        /**
         * Copies this call with other attempts and another phase.
         *
         * @param nextAttempts number of attempts made so far
         * @param nextTried upstreams that the call was sent to, not null
         * @param nextPromptReadyAt when an upstream finished processing the prompt, empty if none has or if the result
         *     was used
         * @param nextMayHaveRun whether an upstream may have started to run the call
         * @param nextPhase the next phase, not null
         * @return the copy, never null
         */
        public Call with(
                final int nextAttempts,
                final Set<UpstreamName> nextTried,
                final Optional<Instant> nextPromptReadyAt,
                final boolean nextMayHaveRun,
                final CallPhase nextPhase) {
            return new Call(
                    parameters,
                    route,
                    service,
                    team,
                    teamRegions,
                    urgency,
                    units,
                    deadline,
                    nextAttempts,
                    nextTried,
                    nextPromptReadyAt,
                    nextMayHaveRun,
                    nextPhase);
        }

        /**
         * Returns the memory that the call needs at the end of its output, in tokens.
         *
         * @return the number of tokens, zero if the caller gave no token counts
         */
        public long tokens() {
            return parameters.tokens().map(TokenDemand::total).orElse(0L);
        }
    }

    /** The phase of a call. */
    public sealed interface CallPhase {
        /**
         * The call waits in the queue for an upstream with free capacity.
         *
         * @param until when the call is refused if no upstream has capacity by then, not null
         */
        record Queued(Instant until) implements CallPhase {}

        /**
         * The call waits for an upstream's response to a request to reserve memory; the call itself was not sent yet.
         *
         * @param upstream the upstream, not null
         * @param until when the call is refused if no upstream has capacity by then, not null
         */
        record Reserving(UpstreamName upstream, Instant until) implements CallPhase {}

        /**
         * The call was sent to an upstream.
         *
         * @param attempt the number of the attempt, from one
         * @param upstream the upstream that generates the response, not null
         * @param prefill the upstream that processes the prompt, empty if the responding upstream does
         */
        record Sent(int attempt, UpstreamName upstream, Optional<UpstreamName> prefill) implements CallPhase {}

        /**
         * The response to an attempt makes no progress, and memory is being reserved at another upstream to retry the
         * call there; the attempt continues until the call is sent again.
         *
         * @param stalled the attempt that continues, not null
         * @param replacement the upstream at which memory is being reserved, not null
         */
        record Replacing(Sent stalled, UpstreamName replacement) implements CallPhase {}
    }
}
