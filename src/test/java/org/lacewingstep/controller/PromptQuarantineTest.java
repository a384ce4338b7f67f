package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.blackboard.CallInstruction;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.domain.PromptPart;
import org.lacewingstep.error.ErrorCode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that requests whose prompt crashes upstreams stop reaching upstreams at all instances of a fleet, and that no
 * other request is refused for it.
 */
class PromptQuarantineTest {
    /** Time after which the rules bind an instance that is in touch with the others. */
    private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

    private static final int CRASHES_ALLOWED = 5;
    private static final int SENDS_ALLOWED = 3;
    private static final int MANY_PARTS = 200;
    private static final int TICKS_BETWEEN_CLUMPS = 600;
    private static final PromptPart SHARED = PromptTraffic.SHARED;
    private static final PromptPart HARMFUL = PromptTraffic.HARMFUL;

    @ParameterizedTest
    @CsvSource({"6,100", "6,400", "6,1500", "24,100", "24,400", "24,1500"})
    void harmfulCallsStopReachingUpstreamsWhicheverInstanceTheyComeTo(final int instances, final int interval) {
        final PromptTraffic traffic = new PromptTraffic(instances, interval);
        traffic.run(Duration.ofSeconds(2), () -> {});
        traffic.run(Duration.ofSeconds(20), mixedCalls(traffic, instances, interval));

        final Instant bound = boundAfterTheLastAllowedCrash(traffic);
        assertThat(traffic.harmfulSendsAfter(bound))
                .as(
                        "sends after the fifth of %s crashes",
                        traffic.harmfulCrashes().size())
                .isLessThanOrEqualTo(SENDS_ALLOWED);
        assertThat(traffic.isQuarantinedEverywhere(HARMFUL)).isTrue();
    }

    /** An upstream that crashes after the first event of a response crashes as surely as one that crashes before it. */
    @ParameterizedTest
    @CsvSource({"6,100", "6,400", "6,1500", "24,100", "24,400", "24,1500"})
    void harmfulCallsThatCrashUpstreamsAfterTheirFirstEventStopReachingUpstreams(
            final int instances, final int interval) {
        final PromptTraffic traffic = new PromptTraffic(instances, interval);
        traffic.crashAfterFirstEvent();
        traffic.run(Duration.ofSeconds(2), () -> {});
        traffic.run(Duration.ofSeconds(40), mixedCalls(traffic, instances, interval));

        assertThat(traffic.harmfulSendsAfter(boundAfterTheLastAllowedCrash(traffic)))
                .as(
                        "sends after the fifth of %s crashes",
                        traffic.harmfulCrashes().size())
                .isLessThanOrEqualTo(SENDS_ALLOWED);
        assertThat(traffic.isQuarantinedSomewhere(SHARED)).isFalse();
    }

    /** A crash suspects all parts of a prompt, more than fit into one report to the other instances. */
    @ParameterizedTest
    @CsvSource({"6,400", "6,1500", "24,400"})
    void harmfulPartAmongManyOthersStopsReachingUpstreams(final int instances, final int interval) {
        final PromptTraffic traffic = new PromptTraffic(instances, interval);
        traffic.run(Duration.ofSeconds(2), () -> {});
        final AtomicInteger ticks = new AtomicInteger();
        traffic.run(Duration.ofSeconds(20), () -> {
            final int tick = ticks.getAndIncrement();
            if (tick * 10 % interval == 0) {
                final PromptPart[] parts = IntStream.range(0, MANY_PARTS)
                        .mapToObj(i -> i == MANY_PARTS / 2 ? HARMFUL : new PromptPart(tick + "0" + i))
                        .toArray(PromptPart[]::new);
                traffic.call(tick * 10 / interval % instances, parts);
            }
        });

        assertThat(traffic.harmfulSendsAfter(boundAfterTheLastAllowedCrash(traffic)))
                .as(
                        "sends after the fifth of %s crashes",
                        traffic.harmfulCrashes().size())
                .isLessThanOrEqualTo(SENDS_ALLOWED);
    }

    /** Calls with a harmful part that arrive together crash many upstreams at one moment, as a rack that fails does. */
    @ParameterizedTest
    @CsvSource({"6,3", "6,4", "6,5", "6,8", "24,4", "24,5", "24,8"})
    void harmfulCallsThatArriveTogetherStopReachingUpstreams(final int instances, final int clump) {
        final PromptTraffic traffic = new PromptTraffic(instances, clump);
        traffic.run(Duration.ofSeconds(2), () -> {});
        final AtomicInteger ticks = new AtomicInteger();
        final Runnable soundCalls = soundCalls(traffic, instances);
        traffic.run(Duration.ofSeconds(40), () -> {
            soundCalls.run();
            final int tick = ticks.getAndIncrement();
            for (int i = 0; tick % TICKS_BETWEEN_CLUMPS == 0 && i < clump; i++) {
                traffic.callOnce((tick + 7 * i) % instances, SHARED, HARMFUL, new PromptPart("de" + tick + "0" + i));
            }
        });

        assertThat(traffic.harmfulSendsAfter(boundAfterTheLastAllowedCrash(traffic)))
                .as(
                        "sends after the fifth of %s crashes",
                        traffic.harmfulCrashes().size())
                .isLessThanOrEqualTo(SENDS_ALLOWED);
        assertThat(traffic.isQuarantinedSomewhere(SHARED)).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"6,100", "6,400", "24,400"})
    void soundCallsWithTheSameFirstPartBeginAtTheFirstAttempt(final int instances, final int interval) {
        final PromptTraffic traffic = new PromptTraffic(instances, interval);
        traffic.run(Duration.ofSeconds(2), () -> {});
        traffic.run(Duration.ofSeconds(20), mixedCalls(traffic, instances, interval));

        final List<PromptTraffic.SentCall> sound =
                traffic.soundCallsFrom(boundAfterTheLastAllowedCrash(traffic).plus(CONTACT_TIME));
        assertThat(sound).hasSizeGreaterThan(20).allSatisfy(call -> assertThat(call.instructions())
                .singleElement()
                .isInstanceOf(Send.class));
    }

    private static Instant boundAfterTheLastAllowedCrash(final PromptTraffic traffic) {
        final List<Instant> crashes = traffic.harmfulCrashes();
        return crashes.get(Math.min(CRASHES_ALLOWED, crashes.size()) - 1).plus(CONTACT_TIME);
    }

    /** Sends a sound call every 100 ms, each with a part of its own. */
    private static Runnable soundCalls(final PromptTraffic traffic, final int instances) {
        final AtomicInteger ticks = new AtomicInteger();
        return () -> {
            final int tick = ticks.getAndIncrement();
            if (tick % 10 == 0) {
                traffic.call(tick * 7 / 10 % instances, SHARED, new PromptPart("50" + tick));
            }
        };
    }

    /** Sends a sound call every 100 ms and a harmful one at an interval, each with a part of its own. */
    private static Runnable mixedCalls(final PromptTraffic traffic, final int instances, final int interval) {
        final AtomicInteger ticks = new AtomicInteger();
        final Runnable soundCalls = soundCalls(traffic, instances);
        return () -> {
            soundCalls.run();
            final int tick = ticks.getAndIncrement();
            if (tick * 10 % interval == 0) {
                traffic.call(tick * 10 / interval % instances, SHARED, HARMFUL, new PromptPart("de" + tick));
            }
        };
    }

    @ParameterizedTest
    @CsvSource({"6,100", "6,200", "6,2000", "24,100", "24,200", "24,2000"})
    void massCrashOfUpstreamsQuarantinesNothing(final int instances, final int delay) {
        final PromptTraffic traffic = new PromptTraffic(instances, delay);
        traffic.run(Duration.ofSeconds(2), () -> {});
        final Runnable calls = ordinaryCalls(traffic, instances);
        traffic.run(Duration.ofMillis(delay), calls);
        traffic.crash(PromptTraffic.UPSTREAMS / 4);
        traffic.run(Duration.ofSeconds(5), calls);

        assertNothingRefused(traffic);
    }

    @ParameterizedTest
    @CsvSource({"6,400", "6,1000", "24,400", "24,1000"})
    void rollingCrashesOfUpstreamsQuarantineNothing(final int instances, final int interval) {
        final PromptTraffic traffic = new PromptTraffic(instances, interval);
        traffic.run(Duration.ofSeconds(2), () -> {});
        final Runnable calls = ordinaryCalls(traffic, instances);
        for (int i = 0; i < 12; i++) {
            traffic.run(Duration.ofMillis(interval), calls);
            traffic.crash(1);
        }
        traffic.run(Duration.ofSeconds(5), calls);

        assertNothingRefused(traffic);
    }

    private static Runnable ordinaryCalls(final PromptTraffic traffic, final int instances) {
        final AtomicInteger ticks = new AtomicInteger();
        return () -> {
            final int tick = ticks.getAndIncrement();
            if (tick % 2 == 0) {
                traffic.call(tick * 7 / 2 % instances, SHARED, new PromptPart("ab" + tick % 8));
            }
        };
    }

    private static void assertNothingRefused(final PromptTraffic traffic) {
        assertThat(traffic.soundCallsFrom(Instant.EPOCH))
                .hasSizeGreaterThan(200)
                .allSatisfy(call -> assertThat(call.instructions())
                        .noneMatch(instruction -> instruction instanceof CallInstruction.Refuse(var refusal)
                                && refusal.code() == ErrorCode.PROMPT_QUARANTINED));
        assertThat(traffic.isQuarantinedSomewhere(SHARED)).isFalse();
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 24})
    void restartsDoNotLiftTheQuarantine(final int instances) {
        final PromptTraffic traffic = new PromptTraffic(instances, 1);
        traffic.run(Duration.ofSeconds(2), () -> {});
        sendHarmfulCallsToOneInstance(traffic);
        traffic.run(CONTACT_TIME, () -> {});
        assertThat(traffic.isQuarantinedEverywhere(HARMFUL)).isTrue();
        final Instant restartedAt = traffic.now();

        for (int i = 0; i < instances; i++) {
            traffic.fleet().restart(i);
            traffic.run(CONTACT_TIME, () -> {});
            traffic.call(i, SHARED, HARMFUL);
        }
        traffic.run(CONTACT_TIME, () -> {});

        assertThat(traffic.isQuarantinedEverywhere(HARMFUL)).isTrue();
        assertThat(traffic.harmfulSendsAfter(restartedAt)).isZero();
    }

    private static void sendHarmfulCallsToOneInstance(final PromptTraffic traffic) {
        for (int i = 0; i < PromptQuarantine.INCIDENT_THRESHOLD; i++) {
            traffic.call(0, SHARED, HARMFUL);
            traffic.run(Duration.ofSeconds(1), () -> {});
        }
    }

    @ParameterizedTest
    @CsvSource({"6,0.5,0", "6,0,0.5", "24,0.3,0.5", "24,0,1"})
    void lostAndRepeatedReportsNeitherPreventNorCauseAQuarantine(
            final int instances, final double lost, final double repeated) {
        final PromptTraffic traffic = new PromptTraffic(instances, 5);
        traffic.fleet().loseAndRepeatMessages(lost, repeated);
        traffic.run(Duration.ofSeconds(2), () -> {});
        for (int i = 0; i < PromptQuarantine.INCIDENT_THRESHOLD - 1; i++) {
            traffic.call(i, SHARED, HARMFUL, new PromptPart("c" + i));
            traffic.run(Duration.ofMillis(260), () -> {});
            traffic.run(Duration.ofSeconds(1), () -> traffic.call(4, SHARED, new PromptPart("aa")));
        }
        traffic.run(Duration.ofSeconds(8), () -> {});
        assertThat(traffic.isQuarantinedSomewhere(SHARED)).isFalse();

        traffic.call(3, SHARED, HARMFUL);
        traffic.run(Duration.ofSeconds(1), () -> {});
        traffic.call(3, SHARED, HARMFUL);
        traffic.run(Duration.ofSeconds(8), () -> {});
        assertThat(traffic.isQuarantinedEverywhere(HARMFUL)).isTrue();
        assertThat(traffic.isQuarantinedSomewhere(SHARED)).isFalse();
    }
}
