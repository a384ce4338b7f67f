package org.lacewingstep.domain;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

import org.lacewingstep.error.Validate;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * A token bucket whose debits can be partly refunded without exceeding rate and burst in any window.
 *
 * <p>A refund restores only the tokens that the bucket would hold now if the debit had been smaller from the start.
 * These are at most the lowest headroom (capacity less level) since the debit: with a smaller debit, any tokens beyond
 * that headroom would have overflowed the bucket. {@link HeadroomHistory} records the minima of the headroom.
 *
 * @param tokensPerSecond the rate in tokens per second, not negative
 * @param capacity the largest level in tokens, not negative
 * @param level the number of tokens at {@code updatedAt}
 * @param updatedAt the time for which {@code level} was computed, not null
 * @param nextDebit the number of the next debit
 * @param debits the debits that can still be refunded, by number, not null
 * @param history the minima of the headroom, not null
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

    /** Validates rate, capacity, level and update time. */
    public TokenBucket {
        Validate.isTrue(tokensPerSecond >= 0, "rate", "zero or more");
        Validate.isTrue(capacity >= 0, "capacity", "zero or more");
        Validate.isTrue(level >= 0 && level <= capacity, "level", "from zero to the capacity");
        Validate.notNull(updatedAt, "updatedAt");
    }

    /**
     * Creates a bucket without debits.
     *
     * @param tokensPerSecond the rate in tokens per second
     * @param capacity the largest level in tokens
     * @param level the initial level in tokens, limited to the capacity
     * @param now the present time, not null
     * @return the bucket, never null
     */
    public static TokenBucket of(
            final double tokensPerSecond, final double capacity, final double level, final Instant now) {
        final double initialLevel = Math.min(level, capacity);
        return new TokenBucket(
                tokensPerSecond, capacity, initialLevel, now, 0, HashTreePMap.empty(), HeadroomHistory.EMPTY);
    }

    /**
     * Takes tokens from the bucket.
     *
     * @param tokens the number of tokens, at most the level
     * @return the bucket after the debit, never null; the number of the debit is {@link #nextDebit()} of this bucket
     * @throws org.lacewingstep.error.RouterException if the level is less than {@code tokens}
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
     * Discards debits that are too old to be refunded.
     *
     * @param oldestKept the earliest time of debits that are kept, not null
     * @return the bucket without the discarded debits, never null
     */
    public TokenBucket discardDebitsBefore(final Instant oldestKept) {
        PMap<Long, Debit> keptDebits = debits;
        for (final Map.Entry<Long, Debit> entry : debits.entrySet()) {
            if (entry.getValue().at().isBefore(oldestKept)) {
                keptDebits = keptDebits.minus(entry.getKey());
            }
        }
        return new TokenBucket(tokensPerSecond, capacity, level, updatedAt, nextDebit, keptDebits, history);
    }

    /**
     * Refunds the unspent part of a debit. A debit that is unknown or already refunded is ignored.
     *
     * @param debitNumber the number of the debit
     * @param unspent the number of unspent tokens; limited to the range from zero to the size of the debit
     * @return the bucket after the refund, never null
     */
    public TokenBucket refund(final long debitNumber, final double unspent) {
        final Debit refundedDebit = debits.get(debitNumber);
        if (refundedDebit == null) {
            return this;
        }
        final HeadroomHistory markedHistory = history.recordHeadroom(nextDebit, capacity - level);
        final double requestedRefund = Math.min(Math.max(0, unspent), refundedDebit.tokens());
        final double credit = Math.min(requestedRefund, markedHistory.lowestSince(debitNumber + 1));
        return new TokenBucket(
                tokensPerSecond,
                capacity,
                Math.min(capacity, level + credit),
                updatedAt,
                nextDebit,
                debits.minus(debitNumber),
                markedHistory.lowerSince(debitNumber + 1, credit));
    }

    /**
     * Adds the tokens accrued since {@code updatedAt}; an earlier time changes nothing.
     *
     * @param now the present time, not null
     * @return the bucket at {@code now}, never null
     */
    public TokenBucket refill(final Instant now) {
        if (!now.isAfter(updatedAt)) {
            return this;
        }
        final double elapsedSeconds = Duration.between(updatedAt, now).toNanos() / NANOSECONDS_PER_SECOND;
        final double refilledLevel = Math.min(capacity, level + elapsedSeconds * tokensPerSecond);
        return new TokenBucket(
                tokensPerSecond,
                capacity,
                refilledLevel,
                now,
                nextDebit,
                debits,
                history.recordHeadroom(nextDebit, capacity - refilledLevel));
    }

    /**
     * Changes rate and capacity. The level is limited to the new capacity. If either value changes, earlier debits can
     * no longer be refunded.
     *
     * @param newRate the rate in tokens per second
     * @param newCapacity the largest level in tokens
     * @return the resized bucket, or this one if neither rate nor capacity changes, never null
     */
    public TokenBucket resize(final double newRate, final double newCapacity) {
        if (newRate == tokensPerSecond && newCapacity == capacity) {
            return this;
        }
        return new TokenBucket(
                newRate,
                newCapacity,
                Math.min(level, newCapacity),
                updatedAt,
                nextDebit,
                HashTreePMap.empty(),
                HeadroomHistory.EMPTY);
    }

    /**
     * Computes the time until the bucket reaches a level.
     *
     * @param targetLevel the level in tokens, at most the capacity
     * @return the time, zero if the bucket already holds that many tokens
     */
    public Duration timeUntil(final double targetLevel) {
        final double missing = Math.max(0, targetLevel - level);
        return Duration.ofNanos((long) Math.ceil(missing / tokensPerSecond * NANOSECONDS_PER_SECOND));
    }

    /**
     * A debit that can still be refunded.
     *
     * @param tokens the number of tokens taken
     * @param at the time of the debit, not null
     */
    public record Debit(double tokens, Instant at) {}
}
