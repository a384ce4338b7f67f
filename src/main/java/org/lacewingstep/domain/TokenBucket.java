package org.lacewingstep.domain;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

import org.lacewingstep.error.Validate;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * A token bucket whose debits can be refunded in part without exceeding rate and burst in any window.
 *
 * <p>A refund restores only what the bucket would hold now if the debit had been smaller from the start. That is at
 * most the lowest headroom (capacity less level) seen since the debit, for at that moment a smaller debit would have
 * overflowed. {@link HeadroomHistory} keeps these lows.
 *
 * @param tokensPerSecond the rate in tokens a second, not negative
 * @param capacity the largest level in tokens, not negative
 * @param level the tokens held at {@code updatedAt}
 * @param updatedAt when the level was computed, not null
 * @param nextDebit the number of the next debit
 * @param debits the debits that may be refunded still, not null
 * @param history lows of the headroom, not null
 */
public record TokenBucket(
        double tokensPerSecond,
        double capacity,
        double level,
        Instant updatedAt,
        long nextDebit,
        PMap<Long, Debit> debits,
        HeadroomHistory history) {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Checks rate, capacity and level. */
    public TokenBucket {
        Validate.isTrue(tokensPerSecond >= 0, "rate", "zero or more");
        Validate.isTrue(capacity >= 0, "capacity", "zero or more");
        Validate.isTrue(level >= 0 && level <= capacity, "level", "from zero to the capacity");
        Validate.notNull(updatedAt, "updatedAt");
    }

    /**
     * Creates a bucket.
     *
     * @param tokensPerSecond the rate in tokens a second
     * @param capacity the largest level in tokens
     * @param level the first level in tokens, cut to the capacity
     * @param now the present time, not null
     * @return the bucket, never null
     */
    public static TokenBucket of(
            final double tokensPerSecond, final double capacity, final double level, final Instant now) {
        final double first = Math.min(level, capacity);
        return new TokenBucket(tokensPerSecond, capacity, first, now, 0, HashTreePMap.empty(), HeadroomHistory.EMPTY);
    }

    /**
     * Takes tokens out.
     *
     * @param tokens how many, not more than the level
     * @return the bucket afterwards, never null; the debit's number is the former {@link #nextDebit()}
     * @throws org.lacewingstep.error.RouterException if the level is too low
     */
    public TokenBucket debit(final double tokens) {
        Validate.isTrue(tokens <= level, "tokens", "no more than the level");
        return new TokenBucket(
                tokensPerSecond,
                capacity,
                level - tokens,
                updatedAt,
                nextDebit + 1,
                debits.plus(nextDebit, new Debit(tokens, updatedAt)),
                history);
    }

    /**
     * Forgets debits that are too old to be refunded.
     *
     * @param limit debits made before this time are forgotten, not null
     * @return the bucket without them, never null
     */
    public TokenBucket forgetBefore(final Instant limit) {
        PMap<Long, Debit> kept = debits;
        for (final Map.Entry<Long, Debit> entry : debits.entrySet()) {
            if (entry.getValue().at().isBefore(limit)) {
                kept = kept.minus(entry.getKey());
            }
        }
        return new TokenBucket(tokensPerSecond, capacity, level, updatedAt, nextDebit, kept, history);
    }

    /**
     * Gives back the unspent part of a debit; unknown or refunded debits are ignored.
     *
     * @param debit the debit's number
     * @param unspent the tokens that were not used, not negative
     * @return the bucket afterwards, never null
     */
    public TokenBucket refund(final long debit, final double unspent) {
        final Debit found = debits.get(debit);
        if (found == null) {
            return this;
        }
        final HeadroomHistory marked = history.mark(nextDebit, capacity - level);
        final double wanted = Math.min(Math.max(0, unspent), found.tokens());
        final double credit = Math.min(wanted, marked.lowestSince(debit + 1));
        return new TokenBucket(
                tokensPerSecond,
                capacity,
                Math.min(capacity, level + credit),
                updatedAt,
                nextDebit,
                debits.minus(debit),
                marked.reduceSince(debit + 1, credit));
    }

    /**
     * Adds what has accrued; time that goes backwards adds nothing.
     *
     * @param now the present time, not null
     * @return the bucket at that time, never null
     */
    public TokenBucket refill(final Instant now) {
        if (!now.isAfter(updatedAt)) {
            return this;
        }
        final double seconds = Duration.between(updatedAt, now).toNanos() / NANOSECONDS_PER_SECOND;
        final double next = Math.min(capacity, level + seconds * tokensPerSecond);
        return new TokenBucket(
                tokensPerSecond, capacity, next, now, nextDebit, debits, history.mark(nextDebit, capacity - next));
    }

    /**
     * Changes rate and capacity; the level is cut to the new capacity and no earlier debit can be refunded.
     *
     * @param nextRate the rate in tokens a second
     * @param nextCapacity the largest level in tokens
     * @return the bucket, never null
     */
    public TokenBucket resize(final double nextRate, final double nextCapacity) {
        if (nextRate == tokensPerSecond && nextCapacity == capacity) {
            return this;
        }
        return new TokenBucket(
                nextRate,
                nextCapacity,
                Math.min(level, nextCapacity),
                updatedAt,
                nextDebit,
                HashTreePMap.empty(),
                HeadroomHistory.EMPTY);
    }

    /**
     * Computes how long the bucket needs to reach a level.
     *
     * @param tokens the level, at most the capacity
     * @return the time, zero if the level is reached
     */
    public Duration timeUntil(final double tokens) {
        final double missing = Math.max(0, tokens - level);
        return Duration.ofNanos((long) Math.ceil(missing / tokensPerSecond * NANOSECONDS_PER_SECOND));
    }

    /**
     * A debit that may be refunded.
     *
     * @param tokens the tokens taken
     * @param at when they were taken, not null
     */
    public record Debit(double tokens, Instant at) {}
}
