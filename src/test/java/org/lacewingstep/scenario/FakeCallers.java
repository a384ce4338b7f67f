package org.lacewingstep.scenario;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.lacewingstep.blackboard.AttemptResult;
import org.lacewingstep.blackboard.AttemptResult.AttemptStep;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Instruction;
import org.lacewingstep.blackboard.RequestParameters;
import org.lacewingstep.blackboard.RequestSection;
import org.lacewingstep.domain.IdempotencyKey;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.ServiceSelector;
import org.lacewingstep.domain.Team;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.error.ErrorCode;

/** Simulates callers and traffic threads: sends requests, runs attempts at the fake upstreams and records outcomes. */
final class FakeCallers {
    private static final Duration DECODE_TIME_PER_TOKEN = Duration.ofMillis(40);
    private static final Duration PLAIN_CALL_DURATION = Duration.ofMillis(20);
    private static final Duration PREFILL_TIME_PER_TOKEN = Duration.ofNanos(200_000);

    private final Map<RequestIdentifier, Duration> admissionLatencies = new HashMap<>();
    private final List<RequestOutcome> outcomes = new ArrayList<>();
    private final Map<IdempotencyKey, Integer> executionsByKey = new HashMap<>();
    private final VirtualFleet fleet;
    private final ReceivedTokensLedger ledger = new ReceivedTokensLedger();
    private final Map<RequestIdentifier, SentRequest> openRequests = new HashMap<>();

    private long sentCount;
    private long executions;
    private int disconnectInterval;
    private Duration disconnectDelay = Duration.ZERO;

    FakeCallers(final VirtualFleet fleet) {
        this.fleet = fleet;
    }

    List<RequestOutcome> outcomes() {
        return outcomes;
    }

    Map<IdempotencyKey, Integer> executionsByKey() {
        return executionsByKey;
    }

    long executions() {
        return executions;
    }

    void handleInstruction(
            final VirtualInstance instance, final RequestIdentifier request, final Instruction instruction) {
        final SentRequest sent = openRequests.get(request);
        if (sent == null) {
            return;
        }
        switch (instruction) {
            case Instruction.Run(Reservation reservation) -> runAttempt(instance, sent, reservation);
            case Instruction.Resume(Reservation reservation) -> runAttempt(instance, sent, reservation);
            case Instruction.Refuse(var refusal) ->
                recordOutcome(sent, OutcomeKind.NOT_RUN, Optional.of(refusal.code()));
            case Instruction.Fail(ErrorCode code, String message) ->
                recordOutcome(sent, OutcomeKind.MAY_HAVE_RUN, Optional.of(code));
            case Instruction.Complete() -> recordOutcome(sent, OutcomeKind.COMPLETED, Optional.empty());
        }
    }

    ReceivedTokensLedger ledger() {
        return ledger;
    }

    /** Makes every n-th caller from now on disconnect after the delay. */
    void disconnectCallers(final int oneIn, final Duration delay) {
        disconnectInterval = oneIn;
        disconnectDelay = delay;
    }

    private void disconnect(final RequestIdentifier request) {
        final SentRequest sent = openRequests.remove(request);
        if (sent != null) {
            sent.instance().deliver(new Event.CallerDisconnected(request, 0));
        }
    }

    /** Ends the open requests of a killed instance with a lost connection. */
    void loseConnections(final VirtualInstance instance) {
        final List<SentRequest> lost = openRequests.values().stream()
                .filter(sent -> sent.instance() == instance)
                .toList();
        lost.forEach(sent -> recordOutcome(sent, OutcomeKind.CONNECTION_LOST, Optional.empty()));
    }

    /** Records, for each request, the time from sending to the grant of its tokens. */
    void observeAdmissions(final VirtualInstance instance) {
        for (final RequestSection.RequestState state :
                instance.board().requests().requests().values()) {
            final SentRequest sent = openRequests.get(state.parameters().request());
            final boolean admitted = !(state.phase() instanceof RequestSection.Phase.AwaitingTokens);
            if (admitted && sent != null && admissionLatencies.get(sent.request()) == null) {
                admissionLatencies.put(
                        sent.request(),
                        Duration.between(sent.sentAt(), fleet.time().now()));
            }
        }
    }

    Map<RequestIdentifier, Duration> admissionLatencies() {
        return admissionLatencies;
    }

    int openRequestCount() {
        return openRequests.size();
    }

    RequestIdentifier send(
            final VirtualInstance instance,
            final TeamName team,
            final ServiceSelector selector,
            final RequestWorkload workload) {
        final RequestIdentifier request = new RequestIdentifier("request-" + sentCount++);
        final Instant now = fleet.time().now();
        final RequestParameters parameters = new RequestParameters(
                request,
                selector,
                Optional.of(keyOf(team)),
                workload.idempotencyKey(),
                workload.promptTokens(),
                workload.outputTokens(),
                now.plus(instance.policy().requestLimit()));
        openRequests.put(request, new SentRequest(request, instance, team, workload, now));
        if (disconnectInterval > 0 && sentCount % disconnectInterval == 0) {
            fleet.time().after(disconnectDelay, () -> disconnect(request));
        }
        instance.deliver(new Event.RequestReceived(parameters));
        return request;
    }

    static KeyDigest keyOf(final TeamName team) {
        return new KeyDigest("key-of-" + team);
    }

    private void runAttempt(final VirtualInstance instance, final SentRequest sent, final Reservation reservation) {
        final long reserved = sent.workload().promptTokens() + sent.workload().outputTokens();
        ledger.recordReceipt(sent.team(), sent.request(), fleet.time().now(), Math.max(1, reserved));
        final FakeUpstream target = fleet.upstream(reservation.target());
        if (target.upstream().role() == UpstreamRole.PLAIN) {
            callPlain(instance, sent, reservation, target);
            return;
        }
        final FakeUpstream prefill = fleet.upstream(reservation.prefill().orElseThrow());
        if (!prefill.start(reservation.attempt(), reservation.owner(), 1)) {
            fail(instance, reservation, AttemptStep.PREFILL, false);
            return;
        }
        fleet.time().after(PREFILL_TIME_PER_TOKEN.multipliedBy(sent.workload().promptTokens()), () -> {
            prefill.end(reservation.attempt());
            decode(instance, sent, reservation, target);
        });
    }

    private void callPlain(
            final VirtualInstance instance,
            final SentRequest sent,
            final Reservation reservation,
            final FakeUpstream target) {
        if (!target.start(reservation.attempt(), reservation.owner(), reservation.pieces())) {
            fail(instance, reservation, AttemptStep.PLAIN_CALL, false);
            return;
        }
        executions++;
        sent.workload().idempotencyKey().ifPresent(key -> executionsByKey.merge(key, 1, Integer::sum));
        fleet.time().after(PLAIN_CALL_DURATION, () -> {
            final boolean served = target.isRunning(reservation.attempt());
            target.end(reservation.attempt());
            if (served) {
                complete(instance, sent, reservation, 0);
            } else {
                fail(instance, reservation, AttemptStep.PLAIN_CALL, true);
            }
        });
    }

    /**
     * Runs the decode step. If the instance is killed, the engine keeps the memory of the response, which no process
     * reads, until the attempt is cancelled.
     */
    private void decode(
            final VirtualInstance instance,
            final SentRequest sent,
            final Reservation reservation,
            final FakeUpstream target) {
        if (!openRequests.containsKey(sent.request())) {
            return;
        }
        if (!target.start(reservation.attempt(), reservation.owner(), reservation.pieces())) {
            fail(instance, reservation, AttemptStep.DECODE, true);
            return;
        }
        fleet.time().after(DECODE_TIME_PER_TOKEN.multipliedBy(sent.workload().usedTokens()), () -> {
            if (!instance.isAlive()) {
                return;
            }
            final boolean served = target.isRunning(reservation.attempt());
            target.end(reservation.attempt());
            if (served) {
                complete(instance, sent, reservation, sent.workload().usedTokens());
            } else {
                fail(instance, reservation, AttemptStep.DECODE, true);
            }
        });
    }

    private void complete(
            final VirtualInstance instance,
            final SentRequest sent,
            final Reservation reservation,
            final long outputTokens) {
        if (instance.isAlive()) {
            ledger.recordActualUse(sent.request(), Math.max(1, sent.workload().promptTokens() + outputTokens));
        }
        instance.deliver(new Event.AttemptEnded(reservation.attempt(), new AttemptResult.Completed(outputTokens)));
    }

    private static void fail(
            final VirtualInstance instance,
            final Reservation reservation,
            final AttemptStep step,
            final boolean requestSent) {
        final var upstream = step == AttemptStep.PREFILL ? reservation.prefill().orElseThrow() : reservation.target();
        instance.deliver(new Event.AttemptEnded(
                reservation.attempt(), new AttemptResult.Failed(step, upstream, requestSent, 0, false)));
    }

    private void recordOutcome(final SentRequest sent, final OutcomeKind kind, final Optional<ErrorCode> code) {
        openRequests.remove(sent.request());
        final Instant now = fleet.time().now();
        final long tokens =
                Math.max(1, sent.workload().promptTokens() + sent.workload().outputTokens());
        final Team team = fleet.team(sent.team());
        final boolean wrongful = kind == OutcomeKind.NOT_RUN && ledger.wouldAllow(team, now, tokens);
        outcomes.add(new RequestOutcome(sent.request(), sent.team(), kind, code, sent.sentAt(), now, wrongful));
    }

    /** The outcome of a request as its caller sees it. */
    enum OutcomeKind {
        COMPLETED,
        CONNECTION_LOST,
        MAY_HAVE_RUN,
        NOT_RUN
    }

    /** Records the outcome of one request: a complete response, a refusal, a failure or a lost connection. */
    record RequestOutcome(
            RequestIdentifier request,
            TeamName team,
            OutcomeKind kind,
            Optional<ErrorCode> code,
            Instant sentAt,
            Instant endedAt,
            boolean wrongfullyRefused) {}

    /** Holds the parameters of a request, and the output tokens that the request will use of those reserved. */
    record RequestWorkload(
            long promptTokens, long outputTokens, long usedTokens, Optional<IdempotencyKey> idempotencyKey) {
        RequestWorkload(final long promptTokens, final long outputTokens, final long usedTokens) {
            this(promptTokens, outputTokens, usedTokens, Optional.empty());
        }
    }

    private record SentRequest(
            RequestIdentifier request,
            VirtualInstance instance,
            TeamName team,
            RequestWorkload workload,
            Instant sentAt) {}
}
