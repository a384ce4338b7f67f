package org.lacewingstep.placement;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lacewingstep.domain.RequestIdentifier;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that refused callers return neither at once into the same burst, nor together, nor too late to be served. */
class ReturnDelayTest {
    private static final RequestIdentifier REQUEST = new RequestIdentifier("r1");

    @Test
    void callerThatWaitedInVainReturnsAfterAboutTheSameTime() {
        assertThat(ReturnDelay.of(REQUEST, Duration.ofSeconds(3), Duration.ofSeconds(11)))
                .isBetween(Duration.ofMillis(2250), Duration.ofMillis(3750));
    }

    @Test
    void callerThatDidNotWaitReturnsSoon() {
        assertThat(ReturnDelay.of(REQUEST, Duration.ZERO, Duration.ofSeconds(11)))
                .isBetween(Duration.ofMillis(225), Duration.ofMillis(375));
    }

    @Test
    void delayIsAtMostAThirdOfTheRemainingTime() {
        assertThat(ReturnDelay.of(REQUEST, Duration.ofSeconds(3), Duration.ofSeconds(3)))
                .isEqualTo(Duration.ofSeconds(1));
    }

    @Test
    void callersThatAreRefusedTogetherReturnOneAfterTheOther() {
        final Set<Duration> delays = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            delays.add(ReturnDelay.of(new RequestIdentifier("r" + i), Duration.ofSeconds(2), Duration.ofSeconds(20)));
        }
        assertThat(delays).hasSizeGreaterThan(80);
    }
}
