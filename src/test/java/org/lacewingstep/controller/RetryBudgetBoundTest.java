package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.blackboard.AllowanceChange;
import org.lacewingstep.blackboard.CallInstruction.Reserve;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the retries of all instances stay within the budget of each service in every window, while upstreams turn
 * requests away, retries wait for an upstream and instances restart.
 */
class RetryBudgetBoundTest {
    private static final int INSTANCES = 6;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration WINDOW = Duration.ofSeconds(10);

    /** Ratio and slack of the policy of the fixture. */
    private static final double RATIO = 0.2;

    private static final double SLACK = 50;

    private final List<SiteFixture> sites = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();
    private final List<Map<TimerKey, Instant>> timers = new ArrayList<>();
    private final List<AttemptEnd> ends = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<Arrival> requests = new ArrayList<>();
    private final Set<String> known = new HashSet<>();

    /** The end of an attempt that an instance has not learned of yet. */
    private record AttemptEnd(Instant due, int site, SiteFixture process, Event event) {}

    /** A request for a service, or an arrival at an upstream of the service beyond the first of its request. */
    private record Arrival(Instant at, ServiceName service) {}

    @Test
    void retriesThatWaitForAReservationAreChargedWhenTheyAreDecided() {
        final SiteFixture site = SiteFixture.reserving();
        for (int i = 0; i < 10; i++) {
            site.step(new Event.AllowanceChanged(new AllowanceChange.RetryReserved(SiteFixture.ENGINES)));
            site.step(new Event.AllowanceChanged(new AllowanceChange.RetrySent(SiteFixture.ENGINES)));
        }
        final List<RequestIdentifier> calls = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            final RequestIdentifier call = site.call("/stream/x", 10);
            completeReservation(site, call);
            calls.add(call);
        }
        final double credits = credits(site, SiteFixture.ENGINES);

        calls.forEach(call -> site.endAttempt(call, new CallResult.FailedByUpstream(500)));
        calls.forEach(call -> completeReservation(site, call));

        final long retries = calls.stream()
                .filter(call -> site.lastInstruction(call) instanceof Send send && send.attempt() == 2)
                .count();
        assertThat((double) retries).isPositive().isLessThanOrEqualTo(credits);
    }

    private static void completeReservation(final SiteFixture site, final RequestIdentifier call) {
        if (site.lastInstruction(call) instanceof Reserve reserve) {
            site.step(new Event.ReservationCompleted(call, reserve.upstream().name(), new CallResult.Served()));
        }
    }

    @Test
    void retryThatIsNotSentIsGivenBack() {
        final SiteFixture site = SiteFixture.reserving();
        final RequestIdentifier left = site.call("/stream/x");
        final RequestIdentifier late = site.call("/stream/x");
        completeReservation(site, left);
        completeReservation(site, late);
        final double credits = credits(site, SiteFixture.ENGINES);

        site.endAttempt(left, new CallResult.FailedByUpstream(500));
        site.endAttempt(late, new CallResult.FailedByUpstream(500));
        assertThat(credits(site, SiteFixture.ENGINES)).isEqualTo(credits - 2);
        site.step(new Event.CallAbandoned(left));
        site.step(new Event.TimerFired(new TimerKey.CallDeadline(late)));

        assertThat(credits(site, SiteFixture.ENGINES)).isEqualTo(credits);
    }

    @Test
    void retryWhoseConnectionIsRefusedIsGivenBack() {
        final SiteFixture site = SiteFixture.serving();
        final RequestIdentifier call = site.call("/read/x");
        final double credits = credits(site, SiteFixture.LEDGER);

        site.endAttempt(call, new CallResult.NotRun(true));
        site.endAttempt(call, new CallResult.NotRun(false));
        site.step(new Event.TimerFired(new TimerKey.CallDeadline(call)));

        assertThat(credits(site, SiteFixture.LEDGER)).isEqualTo(credits);
    }

    /** A prefill upstream that turns a prompt away counts as a retry that nobody could foresee. */
    @Test
    void promptsAreNotProcessedElsewhereWhileThoseTurnedAwayOverdrawTheBudget() {
        final SiteFixture site = SiteFixture.serving();
        assertThat(site.lastSend(site.call("/stream/x", 10)).prefill()).isPresent();

        for (int i = 0; i < 20; i++) {
            site.step(new Event.AllowanceChanged(new AllowanceChange.UncountedRetry(SiteFixture.ENGINES)));
        }
        assertThat(site.lastSend(site.call("/stream/x", 10)).prefill()).isEmpty();
        site.advanceClock(WINDOW);
        site.confirmTable();

        assertThat(site.lastSend(site.call("/stream/x", 10)).prefill()).isPresent();
    }

    private static double credits(final SiteFixture site, final ServiceName service) {
        return AllowanceShare.retryBudget(site.board(), service, site.now()).credits();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noWindowHasMoreRetriesThanItsServiceMayGet(final long seed) {
        final Random random = new Random(seed);
        for (int i = 0; i < INSTANCES; i++) {
            members.add(SiteFixture.member("i" + i, 1000));
            sites.add(site(i, true));
            timers.add(new HashMap<>());
        }

        for (int step = 0; step < 4500; step++) {
            final boolean refusing = step % 2000 > 900;
            if (random.nextDouble() < 0.5) {
                final String path = random.nextInt(6) == 0 ? "/read/x" : "/stream/x";
                call(random.nextInt(INSTANCES), path, refusing, random);
            }
            if (step % 1500 == 1499) {
                restart(random.nextInt(INSTANCES), step);
            }
            for (int i = 0; i < INSTANCES; i++) {
                advance(i, refusing, random);
            }
        }

        assertThat(arrivals).hasSizeGreaterThan(30);
        for (final Arrival first : arrivals) {
            final long extra =
                    count(arrivals, first.service(), first.at(), first.at().plus(WINDOW));
            assertThat((double) extra)
                    .as("from %s for %s", first.at(), first.service())
                    .isLessThanOrEqualTo(RATIO * requestsAround(first) + SLACK);
        }
    }

    private SiteFixture site(final int index, final boolean firstStart) {
        final SiteFixture site = new SiteFixture(members.get(index), firstStart, 1_000_000);
        if (!sites.isEmpty()) {
            site.advanceClock(Duration.between(site.now(), sites.getFirst().now()));
        }
        site.readStore(SiteFixture.table(1, 1_000_000), SiteFixture.upstreams());
        site.changeStore(SiteFixture.presentInstances("i", INSTANCES));
        return site;
    }

    private void restart(final int index, final int step) {
        members.set(index, SiteFixture.member("i" + index, 1001 + step));
        timers.get(index).clear();
        sites.set(index, site(index, false));
    }

    private void call(final int index, final String path, final boolean refusing, final Random random) {
        final SiteFixture site = sites.get(index);
        site.call(path, 10);
        requests.add(new Arrival(site.now(), path.startsWith("/read") ? SiteFixture.LEDGER : SiteFixture.ENGINES));
        drain(index, refusing, random);
    }

    private void advance(final int index, final boolean refusing, final Random random) {
        final SiteFixture site = sites.get(index);
        site.advanceClock(STEP);
        site.confirmTable();
        for (final Map.Entry<TimerKey, Instant> timer :
                List.copyOf(timers.get(index).entrySet())) {
            if (!timer.getValue().isAfter(site.now())) {
                timers.get(index).remove(timer.getKey());
                site.step(new Event.TimerFired(timer.getKey()));
            }
        }
        final List<AttemptEnd> due = ends.stream()
                .filter(end -> end.site() == index && !end.due().isAfter(site.now()))
                .toList();
        ends.removeAll(due);
        due.stream().filter(end -> end.process() == site).forEach(end -> site.step(end.event()));
        drain(index, refusing, random);
    }

    private void drain(final int index, final boolean refusing, final Random random) {
        final SiteFixture site = sites.get(index);
        for (final Effect effect : site.effects()) {
            switch (effect) {
                case Effect.StartTimer(TimerKey.CallQueue key, Instant due) ->
                    timers.get(index).put(key, due);
                case Effect.StartTimer(TimerKey.CallDeadline key, Instant due) ->
                    timers.get(index).put(key, due);
                case Effect.InstructCall(RequestIdentifier request, Send send) ->
                    arrive(index, request, send, refusing, random);
                default -> {}
            }
        }
        site.effects().clear();
    }

    private void arrive(
            final int index,
            final RequestIdentifier request,
            final Send send,
            final boolean refusing,
            final Random random) {
        final SiteFixture site = sites.get(index);
        if (!known.add(members.get(index).incarnation() + " " + request)) {
            arrivals.add(new Arrival(site.now(), send.upstream().service()));
        }
        final boolean refused =
                refusing && send.upstream().service().equals(SiteFixture.LEDGER) && random.nextDouble() < 0.95;
        ends.add(new AttemptEnd(
                site.now().plusMillis(refused ? 5 : 200 + random.nextInt(600)),
                index,
                site,
                new Event.CallAttemptEnded(
                        request, send.attempt(), refused ? new CallResult.NotRun(true) : new CallResult.Served())));
    }

    /** Counts the requests of the window, of the one before it or of the one half a window before it. */
    private double requestsAround(final Arrival first) {
        long most = 0;
        for (final Duration back : List.of(Duration.ZERO, WINDOW.dividedBy(2), WINDOW)) {
            final Instant start = first.at().minus(back);
            most = Math.max(most, count(requests, first.service(), start, start.plus(WINDOW)));
        }
        return most;
    }

    private static long count(
            final List<Arrival> counted, final ServiceName service, final Instant start, final Instant end) {
        return counted.stream()
                .filter(arrival -> arrival.service().equals(service))
                .filter(arrival -> !arrival.at().isBefore(start) && arrival.at().isBefore(end))
                .count();
    }
}
