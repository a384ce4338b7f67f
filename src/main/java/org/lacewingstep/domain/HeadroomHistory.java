package org.lacewingstep.domain;

import java.util.ArrayList;
import java.util.List;

/**
 * The lows of a bucket's headroom, as marks whose headroom rises from the oldest to the newest.
 *
 * <p>A mark that has a newer and lower mark behind it never decides a minimum, so it is dropped. The number of marks
 * is limited; the two oldest are merged on overflow, which can only lower a minimum.
 *
 * @param marks the marks, oldest first, not null
 */
public record HeadroomHistory(List<Mark> marks) {
    /** A history without marks. */
    public static final HeadroomHistory EMPTY = new HeadroomHistory(List.of());

    private static final int MARK_LIMIT = 64;

    /** Copies the marks. */
    public HeadroomHistory {
        marks = List.copyOf(marks);
    }

    /**
     * Adds a mark.
     *
     * @param debit the number of the next debit when the headroom was seen
     * @param headroom capacity less level in tokens
     * @return the history with the mark, never null
     */
    public HeadroomHistory mark(final long debit, final double headroom) {
        final List<Mark> next = new ArrayList<>(marks);
        while (!next.isEmpty() && next.getLast().headroom() >= headroom) {
            next.removeLast();
        }
        next.add(new Mark(debit, headroom));
        if (next.size() > MARK_LIMIT) {
            final Mark oldest = next.removeFirst();
            final Mark second = next.removeFirst();
            next.addFirst(new Mark(second.debit(), oldest.headroom()));
        }
        return new HeadroomHistory(next);
    }

    /**
     * Finds the lowest headroom since a debit.
     *
     * @param debit the number of the debit after the one in question
     * @return the headroom in tokens, zero if nothing is known
     */
    public double lowestSince(final long debit) {
        return marks.stream()
                .filter(mark -> mark.debit() >= debit)
                .mapToDouble(Mark::headroom)
                .findFirst()
                .orElse(0);
    }

    /**
     * Lowers the headroom of the marks since a debit, for a credit that counts from then on.
     *
     * @param debit the number of the debit after the one in question
     * @param credit the tokens credited
     * @return the history afterwards, never null
     */
    public HeadroomHistory reduceSince(final long debit, final double credit) {
        HeadroomHistory next = EMPTY;
        for (final Mark mark : marks) {
            final double headroom = mark.debit() >= debit ? Math.max(0, mark.headroom() - credit) : mark.headroom();
            next = next.mark(mark.debit(), headroom);
        }
        return next;
    }

    /**
     * A low of the headroom.
     *
     * @param debit the number of the next debit when it was seen
     * @param headroom capacity less level in tokens
     */
    public record Mark(long debit, double headroom) {}
}
