package org.lacewingstep.upstream;

import java.util.concurrent.atomic.AtomicLong;

import org.lacewingstep.error.Validate;

/**
 * Bounds the bytes of all bodies that the process keeps: of requests until they are answered, and of responses that are
 * collected. The last part of the bound is left to small bodies, so that small requests are served while large ones
 * fill the rest.
 */
public final class BufferBudget {
    /** Largest number of bytes that count as small; a body of this size is no burden by itself. */
    public static final int SMALL_BYTES = 64 * 1024;

    /** Fraction of the heap for bodies; the rest holds the state of the process and what is not collected yet. */
    private static final double HEAP_FRACTION = 0.25;

    /** Fraction of the bound that large bodies may fill. */
    private static final double LARGE_FRACTION = 0.8;

    private final long limit;
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong reserved = new AtomicLong();

    /**
     * Creates a budget.
     *
     * @param limit the most bytes that are kept, positive
     */
    public BufferBudget(final long limit) {
        Validate.isTrue(limit > 0, "limit", "positive");
        this.limit = limit;
    }

    /**
     * Creates the budget of this process from the limit of its heap.
     *
     * @return the budget, never null
     */
    public static BufferBudget ofProcess() {
        return new BufferBudget((long) (Runtime.getRuntime().maxMemory() * HEAP_FRACTION));
    }

    /**
     * Reserves bytes if the bound permits.
     *
     * @param bytes the number of bytes, not negative
     * @return true if the bytes are reserved and have to be released
     */
    public boolean reserve(final long bytes) {
        final long bound = bytes <= SMALL_BYTES ? limit : (long) (limit * LARGE_FRACTION);
        if (reserved.addAndGet(bytes) <= bound) {
            return true;
        }
        reserved.addAndGet(-bytes);
        refused.incrementAndGet();
        return false;
    }

    /**
     * Reserves bytes that are kept already, beyond the bound if need be; later bodies make up for it.
     *
     * @param bytes the number of bytes, not negative
     */
    public void reserveKept(final long bytes) {
        reserved.addAndGet(bytes);
    }

    /**
     * Counts the reservations that the bound did not permit.
     *
     * @return the number since the start of the process
     */
    public long refusals() {
        return refused.get();
    }

    /**
     * Releases reserved bytes.
     *
     * @param bytes the number of bytes, as reserved
     */
    public void release(final long bytes) {
        reserved.addAndGet(-bytes);
    }

    /**
     * Returns the reserved bytes.
     *
     * @return the number of bytes
     */
    public long reservedBytes() {
        return reserved.get();
    }
}
