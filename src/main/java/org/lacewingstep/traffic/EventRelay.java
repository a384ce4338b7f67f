package org.lacewingstep.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Cuts a stream of server-sent events at the ends of events, so that a caller never sees a part of one from an upstream
 * that broke off; used on one event loop.
 */
final class EventRelay {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte[] IDENTIFIER_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private Optional<String> lastIdentifier;
    private ByteBuf pending = Unpooled.EMPTY_BUFFER;

    /**
     * Creates a relay.
     *
     * @param lastIdentifier the last event that the caller has received, empty for none
     */
    EventRelay(final Optional<String> lastIdentifier) {
        this.lastIdentifier = lastIdentifier;
    }

    /**
     * Adds bytes of the stream.
     *
     * @param content the bytes, owned by this relay from now on, not null
     * @return the events that are complete now, owned by the receiver; empty if there are none
     */
    Optional<ByteBuf> add(final ByteBuf content) {
        final ByteBuf joined = pending.isReadable() ? Unpooled.wrappedBuffer(pending, content) : content;
        pending = Unpooled.EMPTY_BUFFER;
        final int length = completeLength(joined);
        if (length == 0) {
            pending = joined;
            return Optional.empty();
        }
        final ByteBuf complete = joined.readRetainedSlice(length);
        if (joined.isReadable()) {
            pending = joined;
        } else {
            joined.release();
        }
        findIdentifier(complete).ifPresent(found -> lastIdentifier = Optional.of(found));
        return Optional.of(complete);
    }

    /** Forgets the part of an event that is not complete. */
    void dropPart() {
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
    }

    /**
     * Tells whether a part of an event is not complete.
     *
     * @return true if it is
     */
    boolean hasPart() {
        return pending.isReadable();
    }

    /**
     * Gets the last complete event.
     *
     * @return its identifier, empty if no event had one
     */
    Optional<String> lastIdentifier() {
        return lastIdentifier;
    }

    /** Finds the end of the last blank line. */
    private static int completeLength(final ByteBuf buffer) {
        int end = buffer.writerIndex() - 1;
        while (end > buffer.readerIndex()) {
            if (buffer.getByte(end) == LINE_FEED && isLineEnd(buffer, end - 1)) {
                return end + 1 - buffer.readerIndex();
            }
            end--;
        }
        return 0;
    }

    private static boolean isLineEnd(final ByteBuf buffer, final int index) {
        if (buffer.getByte(index) == LINE_FEED) {
            return true;
        }
        return buffer.getByte(index) == CARRIAGE_RETURN
                && index > buffer.readerIndex()
                && buffer.getByte(index - 1) == LINE_FEED;
    }

    private static Optional<String> findIdentifier(final ByteBuf events) {
        int lineStart = events.readerIndex();
        int found = -1;
        while (lineStart < events.writerIndex()) {
            if (startsWithIdentifier(events, lineStart)) {
                found = lineStart;
            }
            lineStart = lineEnd(events, lineStart) + 1;
        }
        if (found < 0) {
            return Optional.empty();
        }
        final int start = found + IDENTIFIER_FIELD.length;
        return Optional.of(events.toString(start, lineEnd(events, found) - start, StandardCharsets.UTF_8)
                .trim());
    }

    private static int lineEnd(final ByteBuf events, final int start) {
        final int end = events.indexOf(start, events.writerIndex(), LINE_FEED);
        return end < 0 ? events.writerIndex() : end;
    }

    private static boolean startsWithIdentifier(final ByteBuf events, final int start) {
        if (events.writerIndex() - start < IDENTIFIER_FIELD.length) {
            return false;
        }
        for (int i = 0; i < IDENTIFIER_FIELD.length; i++) {
            if (events.getByte(start + i) != IDENTIFIER_FIELD[i]) {
                return false;
            }
        }
        return true;
    }
}
