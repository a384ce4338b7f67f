package org.lacewingstep.domain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

/** Tests {@link TokenBucket}. */
class TokenBucketTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int STEPS = 200;

    @Test
    void refillsAtItsRateUpToItsCapacity() {
        final TokenBucket bucket = TokenBucket.of(10, 100, 0, START);
        assertThat(bucket.refill(START.plusSeconds(3)).level()).isEqualTo(30);
        assertThat(bucket.refill(START.plusSeconds(30)).level()).isEqualTo(100);
    }

    @Test
    void ignoresATimeBeforeTheLastUpdate() {
        final TokenBucket bucket = TokenBucket.of(10, 100, 50, START);
        assertThat(bucket.refill(START.minusSeconds(5))).isEqualTo(bucket);
    }

    @Test
    void rejectsADebitAboveTheLevel() {
        final TokenBucket bucket = TokenBucket.of(10, 100, 50, START);
        assertThatThrownBy(() -> bucket.debit(51)).hasMessageContaining("no more than the level");
    }

    @Test
    void refundsOnlyOnce() {
        final TokenBucket bucket = TokenBucket.of(10, 100, 50, START).debit(40);
        assertThat(bucket.refund(0, 40).refund(0, 40).level()).isEqualTo(50);
    }

    /** Guards against subtracting only the overflow since the debit, which would allow 14 tokens at one moment here. */
    @Test
    void refundsNothingOnceTheBucketHasBeenFullSinceTheDebit() {
        TokenBucket bucket = TokenBucket.of(1, 10, 10, START).debit(5);
        bucket = bucket.refill(START.plusSeconds(6)).debit(10);
        assertThat(bucket.refund(0, 5).level()).isZero();
    }

    @Test
    void computesTheTimeUntilALevelIsReached() {
        final TokenBucket bucket = TokenBucket.of(10, 100, 50, START);
        assertThat(bucket.timeUntil(60)).isEqualTo(Duration.ofSeconds(1));
        assertThat(bucket.timeUntil(50)).isZero();
    }

    @Test
    void refundsNothingAfterAResize() {
        final TokenBucket bucket = TokenBucket.of(10, 100, 50, START).debit(40).resize(10, 20);
        assertThat(bucket.refund(0, 40).level()).isEqualTo(10);
    }

    /** Debits less refunds never exceed rate and burst in any window; the check uses its own sum of the debits. */
    @Property(tries = 400, seed = "20261204")
    void staysWithinRateAndBurstInEveryWindow(@ForAll final long seed) {
        final SplittableRandom random = new SplittableRandom(seed);
        final double rate = 1 + random.nextInt(50);
        final double capacity = 10 + random.nextInt(500);
        final List<NetDebit> netDebits = new ArrayList<>();
        TokenBucket bucket = TokenBucket.of(rate, capacity, capacity, START);
        Instant now = START;
        for (int step = 0; step < STEPS; step++) {
            now = now.plusMillis(random.nextInt(4000));
            bucket = bucket.refill(now);
            if (random.nextInt(3) > 0) {
                final long tokens = (long) Math.floor(bucket.level() * random.nextDouble());
                netDebits.add(new NetDebit(now, tokens, bucket.nextDebit()));
                bucket = bucket.debit(tokens);
            } else if (!netDebits.isEmpty()) {
                final int index = random.nextInt(netDebits.size());
                final NetDebit entry = netDebits.get(index);
                final long unspent = entry.tokens() == 0 ? 0 : random.nextLong(entry.tokens() + 1);
                if (bucket.debits().containsKey(entry.debit())) {
                    bucket = bucket.refund(entry.debit(), unspent);
                    netDebits.set(index, new NetDebit(entry.at(), entry.tokens() - unspent, entry.debit()));
                }
            }
        }
        assertThat(largestExcess(netDebits, rate, capacity)).isLessThanOrEqualTo(1e-6);
    }

    /** A refund restores all unspent tokens if the headroom since the debit was never lower than their number. */
    @Property(tries = 100, seed = "20261205")
    void refundsInFullIfTheHeadroomStayedLarge(@ForAll final long seed) {
        final SplittableRandom random = new SplittableRandom(seed);
        final double debit = 50 + random.nextInt(40);
        final double unspent = random.nextInt((int) debit);
        final TokenBucket bucket =
                TokenBucket.of(1, 1000, 100, START).debit(debit).refill(START.plusSeconds(2));
        assertThat(bucket.refund(0, unspent).level()).isCloseTo(102 - debit + unspent, within(1e-9));
    }

    private static double largestExcess(final List<NetDebit> debits, final double rate, final double burst) {
        double largest = 0;
        for (int first = 0; first < debits.size(); first++) {
            double sum = 0;
            for (int last = first; last < debits.size(); last++) {
                sum += debits.get(last).tokens();
                final Duration window = Duration.between(
                        debits.get(first).at(), debits.get(last).at());
                largest = Math.max(largest, sum - burst - rate * window.toNanos() / 1e9);
            }
        }
        return largest;
    }

    private record NetDebit(Instant at, long tokens, long debit) {}
}
