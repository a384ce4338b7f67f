package org.lacewingstep.traffic;

import java.util.Arrays;

import io.netty.buffer.ByteBuf;
import org.lacewingstep.upstream.BufferBudget;

/**
 * Collects the body of a caller's request on the heap within the budget of the process; used on one event loop.
 *
 * <p>A body of a stated length reserves all of it before the first byte is kept, so that a body of which a part is read
 * can be read to its end.
 */
final class BodyBuffer {
    private final BufferBudget budget;

    private byte[] bytes = new byte[0];
    private boolean closed;
    private boolean complete;
    private int length;
    private boolean overflown;
    private int reserved;

    /**
     * Creates an empty buffer.
     *
     * @param budget the budget of all bodies in the process, not null
     */
    BodyBuffer(final BufferBudget budget) {
        this.budget = budget;
    }

    /**
     * Reserves memory for a number of bytes.
     *
     * @param capacity the number of bytes
     * @return false if the budget does not permit them
     */
    boolean reserve(final int capacity) {
        if (capacity <= reserved) {
            return true;
        }
        if (closed || !budget.reserve(capacity - reserved)) {
            return false;
        }
        reserved = capacity;
        return true;
    }

    /**
     * Appends a part of the body, or discards it if the budget does not permit the body.
     *
     * @param part the bytes, whose ownership passes to this buffer, not null
     * @return this buffer
     */
    BodyBuffer append(final ByteBuf part) {
        final int added = part.readableBytes();
        final int needed = length + added;
        overflown = overflown || needed > reserved && !reserve(Math.max(needed, 2 * reserved));
        if (!overflown) {
            bytes = needed > bytes.length ? Arrays.copyOf(bytes, reserved) : bytes;
            part.readBytes(bytes, length, added);
            length = needed;
        }
        part.release();
        return this;
    }

    /**
     * Returns the number of bytes received so far.
     *
     * @return the number of bytes
     */
    int length() {
        return length;
    }

    /** Marks the body as complete. */
    void complete() {
        complete = true;
    }

    /**
     * Returns whether the body has ended or is not wanted any longer.
     *
     * @return true if no more bytes are awaited
     */
    boolean isComplete() {
        return complete || closed;
    }

    /**
     * Returns whether a part of the body was discarded.
     *
     * @return true if the body is not complete
     */
    boolean isOverflown() {
        return overflown;
    }

    /**
     * Returns the body.
     *
     * @return the bytes received so far, never null
     */
    byte[] toBytes() {
        return length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
    }

    /** Gives the reserved memory back; the body must not be used any longer. */
    void close() {
        if (!closed) {
            closed = true;
            budget.release(reserved);
        }
    }
}
