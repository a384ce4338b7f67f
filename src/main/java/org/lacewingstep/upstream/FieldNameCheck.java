package org.lacewingstep.upstream;

import io.netty.util.ByteProcessor;

/**
 * Finds blanks in the field names of a response head, or of the trailer behind the last chunk of a body. Both are a
 * line without a field, the status line or the size of the chunk, with the fields behind it.
 *
 * <p>A line that begins with a blank continues the field before it in an obsolete syntax that senders must not use, so
 * it counts as a field whose name has a blank.
 */
final class FieldNameCheck implements ByteProcessor {
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte COLON = ':';
    private static final byte LINE_FEED = '\n';
    private static final byte SPACE = ' ';
    private static final byte TAB = '\t';

    private boolean blankFound;
    private Position position = Position.BEFORE_FIRST_LINE;

    /** The part of the head or trailer that the next byte belongs to. */
    private enum Position {
        BEFORE_FIRST_LINE,
        FIRST_LINE,
        LINE_START,
        FIELD_NAME,
        FIELD_VALUE,
        END
    }

    /**
     * Reads the next byte; bytes after the blank line that ends the fields are ignored.
     *
     * @param value the byte
     * @return false if the fields have ended, and no more bytes need to be read
     */
    @Override
    public boolean process(final byte value) {
        position = switch (position) {
            // Netty skips white space and control characters in front of a status line; chunks end with a line end.
            case BEFORE_FIRST_LINE -> value > SPACE ? Position.FIRST_LINE : Position.BEFORE_FIRST_LINE;
            case FIRST_LINE, FIELD_VALUE -> value == LINE_FEED ? Position.LINE_START : position;
            case LINE_START -> value == LINE_FEED || value == CARRIAGE_RETURN ? Position.END : readName(value);
            case FIELD_NAME -> readName(value);
            case END -> Position.END;
        };
        return position != Position.END;
    }

    private Position readName(final byte value) {
        blankFound = blankFound || value == SPACE || value == TAB;
        return switch (value) {
            case COLON -> Position.FIELD_VALUE;
            case LINE_FEED -> Position.LINE_START;
            default -> Position.FIELD_NAME;
        };
    }

    /** Starts again in front of the next head or trailer. */
    void reset() {
        blankFound = false;
        position = Position.BEFORE_FIRST_LINE;
    }

    /**
     * Returns whether a field name has a blank.
     *
     * @return true if a space or a tab was read where a field name belongs
     */
    boolean hasFoundBlank() {
        return blankFound;
    }
}
