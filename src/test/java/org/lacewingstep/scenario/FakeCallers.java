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
import org.lacewingstep.blackboard.RequestDemand;
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

/** Callers and the traffic side: send requests, run attempts at the fake upstreams and note the answers. */
final class FakeCallers {
    private static final Duration PER_TOKEN = Duration.ofMillis(40);
    private static final Duration PLAIN_CALL = Duration.ofMillis(20);
    private static final Duration PREFILL_PER_TOKEN = Duration.ofNanos(200_000);

    private final Map<RequestIdentifier, Duration> admittedAfter = new HashMap<>();
    private final List<Answer> answers = new ArrayList<>();
    private final Map<IdempotencyKey, Integer> executionsByKey = new HashMap<>();
    private final VirtualFleet fleet;
    private final BudgetLedger ledger = new BudgetLedger();
    private final Map<RequestIdentifier, Sent> open = new HashMap<>();

    private long count;
    private long executions;
    private int leavers;
    private Duration patience = Duration.ZERO;

    FakeCallers(final VirtualFleet fleet) {
        this.fleet = fleet;
    }

    List<Answer> answers() {
        return answers;
    }

    Map<IdempotencyKey, Integer> executionsByKey() {
        return executionsByKey;
    }

    long executions() {
        return executions;
    }

    void instructed(final VirtualInstance instance, final RequestIdentifier request, final Instruction instruction) {
        final Sent sent = open.get(request);
        if (sent == null) {
            return;
        }
        switch (instruction) {
            case Instruction.Run(Reservation room) -> run(instance, sent, room);
            case Instruction.Resume(Reservation room) -> run(instance, sent, room);
            case Instruction.Refuse(var refusal) -> answer(sent, Kind.NOT_RUN, Optional.of(refusal.code()));
            case Instruction.Fail(ErrorCode code, String message) -> answer(sent, Kind.MAY_HAVE_RUN, Optional.of(code));
            case Instruction.Conclude() -> answer(sent, Kind.ANSWERED, Optional.empty());
        }
    }

    BudgetLedger ledger() {
        return ledger;
    }

    /** From now on one in so many callers leaves. */
    void letLeave(final int oneIn, final Duration after) {
        leavers = oneIn;
        patience = after;
    }

    private void leave(final RequestIdentifier request) {
        final Sent sent = open.remove(request);
        if (sent != null) {
            sent.instance().deliver(new Event.CallerLeft(request, 0));
        }
    }

    /** Requests whose instance died; callers see the connection close. */
    void loseInstance(final VirtualInstance instance) {
        final List<Sent> lost = open.values().stream()
                .filter(sent -> sent.instance() == instance)
                .toList();
        lost.forEach(sent -> answer(sent, Kind.CONNECTION_LOST, Optional.empty()));
    }

    /** Notes how long each request waited until its tokens were granted. */
    void observeAdmissions(final VirtualInstance instance) {
        for (final RequestSection.RequestState state :
                instance.board().requests().requests().values()) {
            final Sent sent = open.get(state.demand().request());
            final boolean admitted = !(state.phase() instanceof RequestSection.Phase.AwaitingTokens);
            if (admitted && sent != null && admittedAfter.get(sent.request()) == null) {
                admittedAfter.put(
                        sent.request(), Duration.between(sent.at(), fleet.time().now()));
            }
        }
    }

    Map<RequestIdentifier, Duration> admittedAfter() {
        return admittedAfter;
    }

    int openRequests() {
        return open.size();
    }

    RequestIdentifier send(
            final VirtualInstance instance, final TeamName team, final ServiceSelector selector, final Work work) {
        final RequestIdentifier request = new RequestIdentifier("request-" + count++);
        final Instant now = fleet.time().now();
        final RequestDemand demand = new RequestDemand(
                request,
                selector,
                Optional.of(keyOf(team)),
                work.idempotencyKey(),
                work.promptTokens(),
                work.outputTokens(),
                now.plus(instance.policy().requestLimit()));
        open.put(request, new Sent(request, instance, team, work, now));
        if (leavers > 0 && count % leavers == 0) {
            fleet.time().after(patience, () -> leave(request));
        }
        instance.deliver(new Event.RequestReceived(demand));
        return request;
    }

    static KeyDigest keyOf(final TeamName team) {
        return new KeyDigest("key-of-" + team);
    }

    private void run(final VirtualInstance instance, final Sent sent, final Reservation room) {
        final long reserved = sent.work().promptTokens() + sent.work().outputTokens();
        ledger.receive(sent.team(), sent.request(), fleet.time().now(), Math.max(1, reserved));
        final FakeUpstream target = fleet.upstream(room.target());
        if (target.upstream().role() == UpstreamRole.PLAIN) {
            callPlain(instance, sent, room, target);
            return;
        }
        final FakeUpstream prefill = fleet.upstream(room.prefill().orElseThrow());
        if (!prefill.start(room.attempt(), room.owner(), 1)) {
            fail(instance, room, AttemptStep.PREFILL, false);
            return;
        }
        fleet.time().after(PREFILL_PER_TOKEN.multipliedBy(sent.work().promptTokens()), () -> {
            prefill.end(room.attempt());
            decode(instance, sent, room, target);
        });
    }

    private void callPlain(
            final VirtualInstance instance, final Sent sent, final Reservation room, final FakeUpstream target) {
        if (!target.start(room.attempt(), room.owner(), room.pieces())) {
            fail(instance, room, AttemptStep.PLAIN_CALL, false);
            return;
        }
        executions++;
        sent.work().idempotencyKey().ifPresent(key -> executionsByKey.merge(key, 1, Integer::sum));
        fleet.time().after(PLAIN_CALL, () -> {
            final boolean served = target.isRunning(room.attempt());
            target.end(room.attempt());
            if (served) {
                complete(instance, sent, room, 0);
            } else {
                fail(instance, room, AttemptStep.PLAIN_CALL, true);
            }
        });
    }

    /** An engine holds the memory of an answer that nobody reads until it is told to cancel. */
    private void decode(
            final VirtualInstance instance, final Sent sent, final Reservation room, final FakeUpstream target) {
        if (!open.containsKey(sent.request())) {
            return;
        }
        if (!target.start(room.attempt(), room.owner(), room.pieces())) {
            fail(instance, room, AttemptStep.DECODE, true);
            return;
        }
        fleet.time().after(PER_TOKEN.multipliedBy(sent.work().usedTokens()), () -> {
            if (!instance.isAlive()) {
                return;
            }
            final boolean served = target.isRunning(room.attempt());
            target.end(room.attempt());
            if (served) {
                complete(instance, sent, room, sent.work().usedTokens());
            } else {
                fail(instance, room, AttemptStep.DECODE, true);
            }
        });
    }

    private void complete(
            final VirtualInstance instance, final Sent sent, final Reservation room, final long outputTokens) {
        if (instance.isAlive()) {
            ledger.correct(sent.request(), Math.max(1, sent.work().promptTokens() + outputTokens));
        }
        instance.deliver(new Event.AttemptEnded(room.attempt(), new AttemptResult.Completed(outputTokens)));
    }

    private static void fail(
            final VirtualInstance instance, final Reservation room, final AttemptStep step, final boolean sent) {
        final var upstream = step == AttemptStep.PREFILL ? room.prefill().orElseThrow() : room.target();
        instance.deliver(
                new Event.AttemptEnded(room.attempt(), new AttemptResult.Failed(step, upstream, sent, 0, false)));
    }

    private void answer(final Sent sent, final Kind kind, final Optional<ErrorCode> code) {
        open.remove(sent.request());
        final Instant now = fleet.time().now();
        final long tokens = Math.max(1, sent.work().promptTokens() + sent.work().outputTokens());
        final Team team = fleet.team(sent.team());
        final boolean wrongful = kind == Kind.NOT_RUN && ledger.wouldAllow(team, now, tokens);
        answers.add(new Answer(sent.request(), sent.team(), kind, code, sent.at(), now, wrongful));
    }

    /** How a request ended for its caller. */
    enum Kind {
        ANSWERED,
        CONNECTION_LOST,
        MAY_HAVE_RUN,
        NOT_RUN
    }

    /** One answer. */
    record Answer(
            RequestIdentifier request,
            TeamName team,
            Kind kind,
            Optional<ErrorCode> code,
            Instant sentAt,
            Instant at,
            boolean wrongful) {}

    /** What a request asks for and what it will really use. */
    record Work(long promptTokens, long outputTokens, long usedTokens, Optional<IdempotencyKey> idempotencyKey) {
        Work(final long promptTokens, final long outputTokens, final long usedTokens) {
            this(promptTokens, outputTokens, usedTokens, Optional.empty());
        }
    }

    private record Sent(RequestIdentifier request, VirtualInstance instance, TeamName team, Work work, Instant at) {}
}
