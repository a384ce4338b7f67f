package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.domain.ServiceLimits;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against prompts that decode engines process because the number of instances, and not the load, leaves a call
 * without a prefill engine: the rate that a cold engine bears was divided by the instances.
 */
class PromptReadingFleetTest {
    private static final Duration TICK = Duration.ofMillis(10);
    private static final Duration PREFILL_TIME = Duration.ofMillis(150);
    private static final Duration STREAM_TIME = Duration.ofMillis(400);
    private static final Duration RUN = Duration.ofSeconds(20);
    private static final int CALLS_PER_SECOND = 13;
    private static final int BURST_FACTOR = 4;
    private static final long COLD_PER_SECOND = 16;

    /** Arrivals in one second that a cold engine bears, by the bounds of the site. */
    private static final int COLD_LIMIT = (int) (COLD_PER_SECOND * 1.5 + 5);

    /** Share of the calls that may lack a prefill engine, at any number of instances. */
    private static final double MAX_SHARE_WITHOUT = 0.05;

    private final Map<UpstreamName, Deque<Instant>> arrivals = new HashMap<>();
    private final List<Running> running = new ArrayList<>();
    private final Random random = new Random(51);

    private int calls;
    private int mostArrivals;
    private int readApart;

    /** A call that an upstream serves. */
    private record Running(SiteFixture site, RequestIdentifier request, Send send, Instant since, boolean prefilling) {}

    @ParameterizedTest
    @CsvSource({"6,5", "18,5", "42,5", "95,5", "42,3", "95,7"})
    void promptsAreReadApartAtAnyNumberOfInstances(final int instances, final int prefillEngines) {
        final RelayFleet fleet = fleet(instances, prefillEngines);
        play(fleet, CALLS_PER_SECOND);

        assertThat(calls).isGreaterThan(CALLS_PER_SECOND * (int) RUN.toSeconds() / 2);
        assertThat(calls - readApart).isLessThanOrEqualTo((int) (calls * MAX_SHARE_WITHOUT));
        assertThat(mostArrivals).isLessThanOrEqualTo(COLD_LIMIT);
    }

    @ParameterizedTest
    @CsvSource({"6,5", "18,5", "42,5", "95,5", "42,3", "95,2"})
    void noEngineGetsMoreThanAColdOneBearsInABurst(final int instances, final int prefillEngines) {
        final RelayFleet fleet = fleet(instances, prefillEngines);
        play(fleet, CALLS_PER_SECOND);
        play(fleet, CALLS_PER_SECOND * BURST_FACTOR);

        assertThat(mostArrivals).isLessThanOrEqualTo(COLD_LIMIT);
    }

    private static RelayFleet fleet(final int instances, final int prefillEngines) {
        final List<RegisteredUpstream> engines = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            engines.add(engine("decode-" + i, UpstreamRole.DECODE));
        }
        for (int i = 0; i < prefillEngines; i++) {
            engines.add(engine("prefill-" + i, UpstreamRole.PREFILL));
        }
        final RoutingTable plain = SiteFixture.table(1, 1_000_000);
        final Map<ServiceName, ServiceLimits> services = new HashMap<>(plain.services());
        services.put(
                SiteFixture.ENGINES,
                new ServiceLimits(
                        SiteFixture.ENGINES, 1000, 100 * SiteFixture.MEMORY_TOKENS, Duration.ZERO, COLD_PER_SECOND));
        final RoutingTable table = new RoutingTable(
                plain.version(), plain.routes(), services, plain.teams(), plain.keys(), plain.limits());
        final RelayFleet fleet = new RelayFleet(instances, 3, new Random(1), engines, table, 1_000_000);
        fleet.run(Duration.ofSeconds(5));
        return fleet;
    }

    private static RegisteredUpstream engine(final String name, final UpstreamRole role) {
        return SiteFixture.upstream(name, SiteFixture.ENGINES, role, new FailureDomainName("here"));
    }

    private void play(final RelayFleet fleet, final int callsPerSecond) {
        final Instant end = fleet.now().plus(RUN);
        while (fleet.now().isBefore(end)) {
            fleet.run(TICK);
            endDue(fleet.now());
            if (random.nextDouble() < callsPerSecond * TICK.toMillis() / 1000.0) {
                call(fleet.sites().get(random.nextInt(fleet.sites().size())), fleet.now());
            }
        }
    }

    private void call(final SiteFixture site, final Instant now) {
        final RequestIdentifier request = site.call("/once/x");
        calls++;
        if (site.instructions(request).isEmpty() || !(site.lastInstruction(request) instanceof Send send)) {
            site.step(new Event.CallAbandoned(request));
            return;
        }
        recordArrival(send.upstream().name(), now);
        send.prefill().ifPresent(engine -> {
            readApart++;
            recordArrival(engine.name(), now);
        });
        running.add(new Running(site, request, send, now, send.prefill().isPresent()));
    }

    private void recordArrival(final UpstreamName upstream, final Instant now) {
        final Deque<Instant> known = arrivals.computeIfAbsent(upstream, name -> new ArrayDeque<>());
        known.add(now);
        while (!known.getFirst().isAfter(now.minusSeconds(1))) {
            known.removeFirst();
        }
        mostArrivals = Math.max(mostArrivals, known.size());
    }

    private void endDue(final Instant now) {
        final List<Running> continued = new ArrayList<>();
        for (final Iterator<Running> each = running.iterator(); each.hasNext(); ) {
            final Running call = each.next();
            final Duration elapsed = Duration.between(call.since(), now);
            if (call.prefilling() && elapsed.compareTo(PREFILL_TIME) >= 0) {
                call.site()
                        .step(new Event.PrefillEnded(call.request(), call.send().attempt(), new CallResult.Served()));
                each.remove();
                continued.add(new Running(call.site(), call.request(), call.send(), call.since(), false));
            } else if (!call.prefilling() && elapsed.compareTo(STREAM_TIME) >= 0) {
                call.site().endAttempt(call.request(), new CallResult.Served());
                each.remove();
            }
        }
        running.addAll(continued);
    }
}
