package org.lacewingstep.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits a stream of server-sent events at the boundaries of events, so that a caller never receives an incomplete
 * event when an upstream fails in mid-stream; used on one event loop.
 */
final class EventRelay {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    /** Bytes of the longest end of an event: the end of a line, a carriage return and a line feed. */
    private static final int LONGEST_BLANK_LINE = 3;

    private static final byte[] IDENTIFIER_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private Optional<String> lastIdentifier;
    private ByteBuf pending = Unpooled.EMPTY_BUFFER;

    /**
     * Creates a relay without buffered bytes.
     *
     * @param lastIdentifier the identifier of the last event that the caller has received, empty for none
     */
    EventRelay(final Optional<String> lastIdentifier) {
        this.lastIdentifier = lastIdentifier;
    }

    /**
     * Appends bytes of the stream and returns the events that they complete.
     *
     * @param content the bytes, whose ownership passes to this relay, not null
     * @return the complete events, whose ownership passes to the method's caller; empty if no event is complete
     */
    Optional<ByteBuf> append(final ByteBuf content) {
        final int searched = Math.max(0, pending.readableBytes() - LONGEST_BLANK_LINE);
        final ByteBuf joined = join(content);
        pending = Unpooled.EMPTY_BUFFER;
        final int length = completeEventsLength(joined, searched);
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

    /** Copies the bytes behind the buffered ones, so that a part of an event is searched and copied only once. */
    private ByteBuf join(final ByteBuf content) {
        if (!pending.isReadable()) {
            return content;
        }
        final ByteBuf joined = pending.isWritable(content.readableBytes())
                ? pending
                : Unpooled.buffer(2 * (pending.readableBytes() + content.readableBytes()))
                        .writeBytes(pending);
        if (joined != pending) {
            pending.release();
        }
        joined.writeBytes(content);
        content.release();
        return joined;
    }

    /** Discards the buffered bytes of an incomplete event. */
    void discardPartialEvent() {
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
    }

    /**
     * Counts the buffered bytes of an incomplete event.
     *
     * @return the number of bytes
     */
    int partialEventBytes() {
        return pending.readableBytes();
    }

    /**
     * Returns whether bytes of an incomplete event are buffered.
     *
     * @return true if bytes are buffered
     */
    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /**
     * Returns the identifier of the last complete event.
     *
     * @return the identifier, empty if no event had an identifier
     */
    Optional<String> lastIdentifier() {
        return lastIdentifier;
    }

    /** Returns the length up to the end of the last blank line that begins after the bytes already searched. */
    private static int completeEventsLength(final ByteBuf buffer, final int searched) {
        int end = buffer.writerIndex() - 1;
        while (end > buffer.readerIndex() + searched) {
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
        int fieldStart = -1;
        while (lineStart < events.writerIndex()) {
            if (startsWithIdentifier(events, lineStart)) {
                fieldStart = lineStart;
            }
            lineStart = lineEnd(events, lineStart) + 1;
        }
        if (fieldStart < 0) {
            return Optional.empty();
        }
        final int start = fieldStart + IDENTIFIER_FIELD.length;
        return Optional.of(events.toString(start, lineEnd(events, fieldStart) - start, StandardCharsets.UTF_8)
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
