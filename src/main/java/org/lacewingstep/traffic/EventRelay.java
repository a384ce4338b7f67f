package org.lacewingstep.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits a stream of server-sent events at the boundaries of events, so that a caller never receives an incomplete
 * event when an upstream fails in mid-stream; used on one event loop.
 *
 * <p>Withholds an event that does not follow the events already received, and all bytes after that event, because the
 * caller must not receive an event twice or the error message of another upstream.
 */
final class EventRelay {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    /** Bytes of the longest end of an event: the end of a line, a carriage return and a line feed. */
    private static final int LONGEST_BLANK_LINE = 3;

    private static final byte[] IDENTIFIER_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] COMMENT = ":".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] STATUS_LINE = "HTTP/".getBytes(StandardCharsets.US_ASCII);
    private static final String DECIMAL_NUMBER = "\\d{1,18}";

    private boolean inSequence;
    private boolean outOfSequence;
    private boolean released;
    private int events;
    private Optional<String> lastIdentifier;
    private ByteBuf pending = Unpooled.EMPTY_BUFFER;

    /**
     * Creates a relay without buffered bytes.
     *
     * @param lastIdentifier the identifier of the last event that the caller has received, empty for none
     */
    EventRelay(final Optional<String> lastIdentifier) {
        this.lastIdentifier = lastIdentifier;
        this.inSequence = lastIdentifier.isEmpty();
    }

    /**
     * Appends bytes of the stream and returns the events that they complete.
     *
     * @param content the bytes, whose ownership passes to this relay, not null
     * @return the complete events, whose ownership passes to the method's caller; empty if no event is complete or the
     *     next event does not follow the ones already received
     */
    Optional<ByteBuf> append(final ByteBuf content) {
        final int searched = Math.max(0, pending.readableBytes() - LONGEST_BLANK_LINE);
        final ByteBuf joined = join(content);
        pending = Unpooled.EMPTY_BUFFER;
        final int length = outOfSequence ? 0 : acceptedLength(joined, completeEventsLength(joined, searched));
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
        released = true;
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

    /** Discards the buffered bytes before the response of another upstream, which has to continue the stream. */
    void discardPartialEvent() {
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
        outOfSequence = false;
        inSequence = lastIdentifier.isEmpty() && !released;
    }

    /**
     * Returns whether the current response has an event that does not follow the events already received.
     *
     * @return true if the rest of the current response is withheld
     */
    boolean isOutOfSequence() {
        return outOfSequence;
    }

    /**
     * Counts the buffered bytes of an incomplete or withheld event.
     *
     * @return the number of bytes
     */
    int partialEventBytes() {
        return pending.readableBytes();
    }

    /**
     * Returns whether bytes of an incomplete or withheld event are buffered.
     *
     * @return true if bytes are buffered
     */
    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /**
     * Counts the events with fields that were accepted, of all responses.
     *
     * @return the number of events
     */
    int events() {
        return events;
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

    /** Returns the length up to the first event that does not follow the events before it, or else the whole length. */
    private int acceptedLength(final ByteBuf buffer, final int length) {
        final int end = buffer.readerIndex() + length;
        int eventStart = buffer.readerIndex();
        int lineStart = eventStart;
        while (lineStart < end) {
            final int lineEnd = buffer.indexOf(lineStart, end, LINE_FEED);
            if (isBlank(buffer, lineStart, lineEnd)) {
                if (!accept(buffer, eventStart, lineStart)) {
                    outOfSequence = true;
                    return eventStart - buffer.readerIndex();
                }
                eventStart = lineEnd + 1;
            }
            lineStart = lineEnd + 1;
        }
        return length;
    }

    /** Accepts an event if it follows the ones already received; one without fields always does. */
    private boolean accept(final ByteBuf buffer, final int start, final int end) {
        Optional<String> identifier = Optional.empty();
        boolean hasFields = false;
        for (int line = start; line < end; line = lineEnd(buffer, line, end) + 1) {
            hasFields = hasFields || !startsWith(buffer, line, end, COMMENT);
            if (startsWith(buffer, line, end, IDENTIFIER_FIELD)) {
                final int value = line + IDENTIFIER_FIELD.length;
                identifier =
                        Optional.of(buffer.toString(value, lineEnd(buffer, line, end) - value, StandardCharsets.UTF_8)
                                .trim());
            }
        }
        if (!hasFields) {
            return true;
        }
        if (startsWith(buffer, start, end, STATUS_LINE) || !follows(identifier)) {
            return false;
        }
        inSequence = true;
        events++;
        lastIdentifier = identifier.or(() -> lastIdentifier);
        return true;
    }

    /**
     * Checks the identifier of an event. Identifiers increase, but not necessarily by one, so a missing event cannot be
     * detected.
     */
    private boolean follows(final Optional<String> identifier) {
        if (identifier.isEmpty() || lastIdentifier.isEmpty()) {
            return inSequence;
        }
        if (!lastIdentifier.get().matches(DECIMAL_NUMBER)) {
            return !identifier.equals(lastIdentifier);
        }
        return identifier.get().matches(DECIMAL_NUMBER)
                && Long.parseLong(identifier.get()) > Long.parseLong(lastIdentifier.get());
    }

    private static boolean isBlank(final ByteBuf buffer, final int start, final int end) {
        return end == start || end == start + 1 && buffer.getByte(start) == CARRIAGE_RETURN;
    }

    private static int lineEnd(final ByteBuf buffer, final int start, final int limit) {
        final int end = buffer.indexOf(start, limit, LINE_FEED);
        return end < 0 ? limit : end;
    }

    private static boolean startsWith(final ByteBuf buffer, final int start, final int limit, final byte[] prefix) {
        if (limit - start < prefix.length) {
            return false;
        }
        for (int i = 0; i < prefix.length; i++) {
            if (buffer.getByte(start + i) != prefix[i]) {
                return false;
            }
        }
        return true;
    }
}
