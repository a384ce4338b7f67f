package org.lacewingstep.domain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that overdrafts are limited to one request and that small requests do not starve large ones. */
class AllowanceBucketTest {
    private static final double CAPACITY = 1000;
    private static final int LARGEST_REQUEST = 900;
    private static final double RATE = 500;

    @Property(seed = "42")
    void spendingInAWindowIsBounded(
            @ForAll @Size(min = 1, max = 200) final List<@IntRange(min = 1, max = LARGEST_REQUEST) Integer> sizes,
            @ForAll @IntRange(min = 0, max = 900) final int pauseMillis) {
        AllowanceBucket bucket = fullBucket();
        Instant now = Instant.EPOCH;
        final List<Spending> spendings = new ArrayList<>();
        for (final int size : sizes) {
            now = now.plusMillis((long) pauseMillis * size / LARGEST_REQUEST);
            bucket = bucket.withLimits(RATE, CAPACITY, now);
            if (bucket.isOpen(0)) {
                bucket = bucket.spend(size);
                spendings.add(new Spending(now, size));
            }
        }
        for (int first = 0; first < spendings.size(); first++) {
            double sum = 0;
            for (int last = first; last < spendings.size(); last++) {
                sum += spendings.get(last).units();
                final Duration window = Duration.between(
                        spendings.get(first).at(), spendings.get(last).at());
                assertThat(sum)
                        .isLessThanOrEqualTo(CAPACITY + RATE * window.toMillis() / 1000.0 + LARGEST_REQUEST + 1e-6);
            }
        }
    }

    /** Guards against units that come back to a bucket which was full and spent while they were away. */
    @Test
    void unitsOfWaitingRequestAreNotReplacedWhileTheyMayComeBack() {
        final AllowanceBucket waiting = fullBucket().hold(LARGEST_REQUEST);
        final AllowanceBucket refilled = waiting.withLimits(RATE, CAPACITY, Instant.EPOCH.plusSeconds(60));

        assertThat(refilled.level()).isEqualTo(CAPACITY - LARGEST_REQUEST);
        assertThat(refilled.release(LARGEST_REQUEST).giveBack(LARGEST_REQUEST).level())
                .isEqualTo(CAPACITY);
        assertThat(refilled.release(LARGEST_REQUEST)
                        .withLimits(RATE, CAPACITY, Instant.EPOCH.plusSeconds(120))
                        .level())
                .isEqualTo(CAPACITY);
    }

    @Test
    void aLargeRequestIsNotStarvedBySmallOnes() {
        AllowanceBucket bucket = fullBucket().spend(CAPACITY - 1);

        assertThat(bucket.isOpen(0)).isTrue();
        bucket = bucket.spend(LARGEST_REQUEST);

        assertThat(bucket.isOpen(0)).isFalse();
        assertThat(bucket.timeUntilOpen()).isCloseTo(Duration.ofMillis(1800), Duration.ofMillis(1));
        assertThat(bucket.withLimits(RATE, CAPACITY, Instant.EPOCH.plus(bucket.timeUntilOpen()))
                        .isOpen(0))
                .isTrue();
    }

    @Test
    void aSmallerCapacityLimitsTheLevel() {
        assertThat(fullBucket().withLimits(RATE, 10, Instant.EPOCH).level()).isEqualTo(10);
    }

    private static AllowanceBucket fullBucket() {
        return new AllowanceBucket(RATE, CAPACITY, CAPACITY, Instant.EPOCH);
    }

    private record Spending(Instant at, int units) {}
}
