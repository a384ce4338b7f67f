package org.lacewingstep.upstream;

import io.netty.util.ByteProcessor;

/**
 * Looks for blanks in the field names of a response head, which is read byte by byte.
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
    private Position position = Position.BEFORE_STATUS_LINE;

    /** The part of the head that the next byte belongs to. */
    private enum Position {
        BEFORE_STATUS_LINE,
        STATUS_LINE,
        LINE_START,
        FIELD_NAME,
        FIELD_VALUE,
        END
    }

    /**
     * Reads the next byte of the head; bytes after the end of the head are ignored.
     *
     * @param value the byte
     * @return false if the head has ended, and no more bytes need to be read
     */
    @Override
    public boolean process(final byte value) {
        position = switch (position) {
            // Netty skips white space and control characters in front of a status line.
            case BEFORE_STATUS_LINE -> value > SPACE ? Position.STATUS_LINE : Position.BEFORE_STATUS_LINE;
            case STATUS_LINE, FIELD_VALUE -> value == LINE_FEED ? Position.LINE_START : position;
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

    /**
     * Returns whether a field name of the head has a blank.
     *
     * @return true if a space or a tab was read where a field name belongs
     */
    boolean hasFoundBlank() {
        return blankFound;
    }
}
