package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallParameters;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.CallSection.CallPhase;
import org.lacewingstep.blackboard.Decision.Input;
import org.lacewingstep.blackboard.LifecycleSection.Stage;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.blackboard.RoutingSection;
import org.lacewingstep.domain.AllowanceBucket;
import org.lacewingstep.domain.RegionName;
import org.lacewingstep.domain.Route;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.TeamAllowance;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.TokenDemand;
import org.lacewingstep.error.ErrorCode;

/** Decides whether a call is admitted, by its route, its key and the rate limit of its team. */
final class CallAdmission {
    /** Part of the withdrawal limit that is reserved for the time a request spends in transit to this instance. */
    private static final Duration TRANSIT_MARGIN = Duration.ofMillis(250);

    /** Greatest age of the table confirmation of a ready instance, as a fraction of the withdrawal limit. */
    private static final double READY_AGE_FRACTION = 0.6;

    /** Retry delay sent to a caller while this instance has no confirmed routing table. */
    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(400);

    /** Retry delay sent by a stopping instance; the caller is expected to retry at another instance. */
    private static final Duration DRAINING_RETRY_AFTER = Duration.ofMillis(50);

    /** Retry delay sent to a caller whose prompt crashes upstreams, which lasts until an upstream is repaired. */
    private static final Duration QUARANTINE_RETRY_AFTER = Duration.ofSeconds(60);

    /** Retry delay sent to a caller whose prompt has a part on trial, about the duration of a trial request. */
    private static final Duration TRIAL_RETRY_AFTER = Duration.ofSeconds(2);

    /** How long a stopping instance accepts calls: time for two failed health checks of the balancer, one a second. */
    private static final Duration DRAIN_ACCEPT_PERIOD = Duration.ofMillis(2500);

    private CallAdmission() {}

    /** The admission decision for a call. */
    sealed interface AdmissionDecision {
        /**
         * The call is admitted.
         *
         * @param call the admitted call, not null
         */
        record Admitted(Call call) implements AdmissionDecision {}

        /**
         * The call is refused because it is not allowed or because that cannot be determined; no upstream has run it.
         *
         * @param refusal the response to the caller, not null
         * @param inputs the values behind the refusal, for the decision log, not null
         */
        record Refused(Refusal refusal, List<Input> inputs) implements AdmissionDecision {
            /** Copies the list of inputs. */
            public Refused {
                inputs = List.copyOf(inputs);
            }
        }
    }

    /**
     * Decides whether a call is admitted.
     *
     * @param board the blackboard, not null
     * @param parameters the request parameters of the call, not null
     * @param now the present time, not null
     * @return the decision, never null
     */
    static AdmissionDecision decide(final Blackboard board, final CallParameters parameters, final Instant now) {
        final AdmissionDecision decision = decideAccess(board, parameters, now);
        return decision instanceof AdmissionDecision.Admitted
                ? PromptQuarantine.find(board, parameters, now)
                        .map(CallAdmission::quarantined)
                        .orElse(decision)
                : decision;
    }

    private static AdmissionDecision quarantined(final PromptQuarantine.QuarantinedPart part) {
        return new AdmissionDecision.Refused(
                new Refusal(
                        ErrorCode.PROMPT_QUARANTINED,
                        part.reason(),
                        part.onTrial() ? TRIAL_RETRY_AFTER : QUARANTINE_RETRY_AFTER),
                List.of(
                        Input.of("part", part.part()),
                        Input.of("incidents", part.incidents()),
                        Input.of("age_ms", part.age().toMillis())));
    }

    private static AdmissionDecision decideAccess(
            final Blackboard board, final CallParameters parameters, final Instant now) {
        if (isClosedToCalls(board, now)) {
            return refused(new Refusal(ErrorCode.INSTANCE_DRAINING, "the instance is stopping", DRAINING_RETRY_AFTER));
        }
        final RoutingSection routing = board.serving().routing();
        final RoutingTable table = routing.table();
        final boolean confirmed = isTableConfirmed(board, now);
        if (!table.isPresent() || board.serving().registry().revision().isEmpty() && !confirmed) {
            return notReady("the routing table is not known yet");
        }
        final Optional<Route> route = table.route(parameters.host(), parameters.path());
        if (route.isEmpty()) {
            return confirmed
                    ? refused(ErrorCode.SERVICE_UNKNOWN, "no route matches host and path")
                    : notReady("the routing table may be out of date");
        }
        if (route.get().open()) {
            return new AdmissionDecision.Admitted(
                    createCall(table, parameters, route.get(), Optional.empty(), Set.of(), 0));
        }
        if (!confirmed) {
            return notReady("keys may have been withdrawn");
        }
        final Optional<TeamName> team = parameters.key().map(table.keys()::get);
        if (team.isEmpty()) {
            return refused(ErrorCode.KEY_UNKNOWN, "the key is not known");
        }
        return checkRate(board, parameters, route.get(), team.get(), now);
    }

    /** Returns whether new calls are refused, because a late call could not finish before the process is killed. */
    private static boolean isClosedToCalls(final Blackboard board, final Instant now) {
        return switch (board.lifecycle().stage()) {
            case Stage.Starting(), Stage.Ready() -> false;
            case Stage.Draining(Instant since) -> !now.isBefore(since.plus(DRAIN_ACCEPT_PERIOD));
            case Stage.Leaving(Instant since) -> true;
            case Stage.Stopped() -> true;
        };
    }

    private static AdmissionDecision checkRate(
            final Blackboard board,
            final CallParameters parameters,
            final Route route,
            final TeamName team,
            final Instant now) {
        final TeamAllowance allowance =
                board.serving().routing().table().teams().get(team);
        final long units = allowance == null || !allowance.countsTokens()
                ? 1
                : parameters.tokens().map(TokenDemand::total).orElse(allowance.plainUnits());
        final Optional<AllowanceBucket> bucket = AllowanceShare.bucket(board, team, now);
        final boolean withinDefaultUnits = allowance != null && units <= allowance.plainUnits();
        final double overdraft = withinDefaultUnits ? AllowanceShare.plainOverdraft(board) : 0;
        final double unreported = bucket.map(known -> AllowanceShare.unreportedUnits(board, known, now))
                .orElse(0.0);
        if (bucket.isPresent() && !bucket.get().spend(unreported).isOpen(overdraft)) {
            return new AdmissionDecision.Refused(
                    new Refusal(
                            ErrorCode.RATE_EXCEEDED,
                            "the team's rate is exceeded",
                            bucket.get().spend(unreported).timeUntilOpen()),
                    List.of(
                            Input.of("team", team),
                            Input.of("units", units),
                            Input.of("level", Math.round(bucket.get().level())),
                            Input.of("unreported", Math.round(unreported)),
                            Input.of("rate", Math.round(bucket.get().unitsPerSecond()))));
        }
        return new AdmissionDecision.Admitted(createCall(
                board.serving().routing().table(),
                parameters,
                route,
                Optional.of(team),
                allowance == null ? Set.of() : allowance.allowedRegions(),
                units));
    }

    private static Call createCall(
            final RoutingTable table,
            final CallParameters parameters,
            final Route route,
            final Optional<TeamName> team,
            final Set<RegionName> teamRegions,
            final long units) {
        final ServiceName service = route.chooseService(parameters.request());
        final Duration limit =
                parameters.waitLimit().compareTo(route.timeLimit()) < 0 ? parameters.waitLimit() : route.timeLimit();
        final Instant deadline = parameters.receivedAt().plus(limit);
        return new Call(
                parameters,
                route,
                service,
                team,
                teamRegions,
                table.urgency(service, route, team),
                units,
                deadline,
                0,
                Set.of(),
                Optional.empty(),
                false,
                new CallPhase.Queued(deadline));
    }

    /**
     * Returns whether a call may still be sent: its key has not been withdrawn since the call was admitted, or an
     * upstream may have started to run the call before. A withdrawal ends no call that has started.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param now the present time, not null
     * @return true if the call has no team or may have started, or if the confirmed routing table still maps its key to
     *     the same team
     */
    static boolean mayStillRun(final Blackboard board, final Call call, final Instant now) {
        if (call.team().isEmpty() || call.mayHaveRun()) {
            return true;
        }
        final Optional<TeamName> team =
                call.parameters().key().map(board.serving().routing().table().keys()::get);
        return isTableConfirmed(board, now) && team.equals(call.team());
    }

    /**
     * Returns whether this instance should receive new callers.
     *
     * @param board the blackboard, not null
     * @param now the present time, not null
     * @return true if the registry has been read from the store and the routing table was confirmed recently
     */
    static boolean isReady(final Blackboard board, final Instant now) {
        final Duration limit = board.serving().site().bounds().withdrawalLimit();
        final Duration maxAge = Duration.ofNanos((long) (limit.toNanos() * READY_AGE_FRACTION));
        return board.serving().routing().table().isPresent()
                && board.serving().routing().isConfirmedWithin(maxAge, now)
                && !board.serving().registry().upstreams().isEmpty();
    }

    private static boolean isTableConfirmed(final Blackboard board, final Instant now) {
        final Duration limit = board.serving().site().bounds().withdrawalLimit().minus(TRANSIT_MARGIN);
        return board.serving().routing().isConfirmedWithin(limit, now);
    }

    private static AdmissionDecision notReady(final String message) {
        return refused(new Refusal(ErrorCode.NOT_READY, message, NOT_READY_RETRY_AFTER));
    }

    private static AdmissionDecision refused(final ErrorCode code, final String message) {
        return refused(Refusal.of(code, message));
    }

    private static AdmissionDecision refused(final Refusal refusal) {
        return new AdmissionDecision.Refused(refusal, List.of());
    }
}
