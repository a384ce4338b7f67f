package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.domain.AllowanceBucket;
import org.lacewingstep.domain.RequestIdentifier;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a team that sends many times its limit through many instances stays within its bound in every window: what
 * each instance admits is unknown to the others until a report has passed the relays.
 */
class PressingTeamTest {
    private static final double RATE = 150_000;
    private static final double SLACK = 140_000;
    private static final int DOMAINS = 4;
    private static final long UNITS = 3270;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration WINDOW = Duration.ofSeconds(8);

    /** Required bound on the units of one window: rate times window and burst, plus 10 %, and the slack. */
    private static final double BOUND = (RATE * 8 + RATE) * 1.1 + SLACK;

    /** Demand in calm and of a pressing team, as a multiple of the rate. */
    private static final double CALM = 0.56;

    private static final double PRESSING = 4.2;

    private final List<SentCall> sentCalls = new ArrayList<>();
    private int refused;

    /** The units of a call that was sent to an upstream, and when. */
    private record SentCall(Instant at, long units) {}

    @ParameterizedTest
    @CsvSource({"58, 1", "76, 2", "95, 1"})
    void noWindowExceedsTheBoundWhileATeamPresses(final int instances, final long seed) {
        final RelayFleet fleet = fleet(instances, seed);
        final Random random = new Random(seed);
        fleet.run(Duration.ofSeconds(5));

        simulate(fleet, random, CALM, Duration.ofSeconds(3));
        simulate(fleet, random, PRESSING, Duration.ofSeconds(11));

        assertThat(maxUnitsInWindow()).isLessThanOrEqualTo(BOUND);
    }

    @Test
    void pressingTeamGetsItsRate() {
        final RelayFleet fleet = fleet(76, 3);
        final Random random = new Random(3);
        fleet.run(Duration.ofSeconds(5));

        simulate(fleet, random, PRESSING, Duration.ofSeconds(10));

        final double units = sentCalls.stream().mapToLong(SentCall::units).sum();
        assertThat(units).isGreaterThan(RATE * 10);
    }

    @Test
    void teamWithinItsLimitIsNeverRefused() {
        final RelayFleet fleet = fleet(76, 4);
        final Random random = new Random(4);
        fleet.run(Duration.ofSeconds(5));
        AllowanceBucket reference = new AllowanceBucket(RATE, RATE, RATE, fleet.now());
        for (int i = 0; i < 1200; i++) {
            fleet.run(STEP);
            // Calls come in clumps; the team asks for as much as its limit permits.
            for (int call = 0; i % 30 == 0 && call < 20; call++) {
                reference = reference.withLimits(RATE, RATE, fleet.now());
                if (reference.level() >= UNITS) {
                    reference = reference.spend(UNITS);
                    call(fleet, random);
                }
            }
        }

        assertThat(refused).isZero();
        assertThat(sentCalls).hasSizeGreaterThan(500);
    }

    private static RelayFleet fleet(final int instances, final long seed) {
        return new RelayFleet(
                instances, DOMAINS, new Random(seed), SiteFixture.upstreams(), SiteFixture.table(1, RATE), SLACK);
    }

    private void simulate(final RelayFleet fleet, final Random random, final double demand, final Duration duration) {
        final double callsPerStep = demand * RATE / UNITS * STEP.toMillis() / 1000;
        double due = 0;
        final Instant end = fleet.now().plus(duration);
        while (fleet.now().isBefore(end)) {
            fleet.run(STEP);
            due += callsPerStep * 2 * random.nextDouble();
            for (; due >= 1; due--) {
                call(fleet, random);
            }
        }
    }

    private void call(final RelayFleet fleet, final Random random) {
        final SiteFixture site = fleet.sites().get(random.nextInt(fleet.sites().size()));
        final RequestIdentifier request = site.call("/post/x", UNITS);
        if (site.lastInstruction(request) instanceof Send) {
            sentCalls.add(new SentCall(fleet.now(), UNITS));
            site.endAttempt(request, new CallResult.Served());
        } else {
            refused++;
        }
    }

    private double maxUnitsInWindow() {
        double maximum = 0;
        for (final SentCall first : sentCalls) {
            final Instant end = first.at().plus(WINDOW);
            final double units = sentCalls.stream()
                    .filter(other ->
                            !other.at().isBefore(first.at()) && other.at().isBefore(end))
                    .mapToLong(SentCall::units)
                    .sum();
            maximum = Math.max(maximum, units);
        }
        return maximum;
    }
}
