package org.lacewingstep.domain;

import java.util.ArrayList;
import java.util.List;

/**
 * Local minima of the headroom of a token bucket, where headroom is capacity less level.
 *
 * <p>The history is a list of marks with strictly increasing headroom. A mark followed by a newer mark with the same or
 * a lower headroom never determines a minimum and is dropped. The number of marks is limited. When the limit is
 * exceeded, the two oldest marks are merged, which can only lower a minimum.
 *
 * @param marks the marks, oldest first, not null
 */
public record HeadroomHistory(List<Mark> marks) {
    /** The empty history. */
    public static final HeadroomHistory EMPTY = new HeadroomHistory(List.of());

    private static final int MAX_MARKS = 64;

    /** Copies the list of marks. */
    public HeadroomHistory {
        marks = List.copyOf(marks);
    }

    /**
     * Records the present headroom.
     *
     * @param nextDebit the number of the next debit
     * @param headroom the capacity less the level, in tokens
     * @return the history with the new mark, never null
     */
    public HeadroomHistory recordHeadroom(final long nextDebit, final double headroom) {
        final List<Mark> newMarks = new ArrayList<>(marks);
        while (!newMarks.isEmpty() && newMarks.getLast().headroom() >= headroom) {
            newMarks.removeLast();
        }
        newMarks.add(new Mark(nextDebit, headroom));
        if (newMarks.size() > MAX_MARKS) {
            final Mark oldest = newMarks.removeFirst();
            final Mark secondOldest = newMarks.removeFirst();
            newMarks.addFirst(new Mark(secondOldest.debit(), oldest.headroom()));
        }
        return new HeadroomHistory(newMarks);
    }

    /**
     * Returns the lowest headroom recorded since a debit.
     *
     * @param firstDebit the number of the first debit after that debit
     * @return the headroom in tokens, zero if no mark covers the time since the debit
     */
    public double lowestSince(final long firstDebit) {
        return marks.stream()
                .filter(mark -> mark.debit() >= firstDebit)
                .mapToDouble(Mark::headroom)
                .findFirst()
                .orElse(0);
    }

    /**
     * Lowers the headroom of all marks since a debit by a credit that applies from the time of the debit.
     *
     * @param firstDebit the number of the first debit after that debit
     * @param credit the number of tokens credited
     * @return the history with the lowered marks, never null
     */
    public HeadroomHistory lowerSince(final long firstDebit, final double credit) {
        HeadroomHistory reduced = EMPTY;
        for (final Mark mark : marks) {
            final double headroom =
                    mark.debit() >= firstDebit ? Math.max(0, mark.headroom() - credit) : mark.headroom();
            reduced = reduced.recordHeadroom(mark.debit(), headroom);
        }
        return reduced;
    }

    /**
     * A local minimum of the headroom.
     *
     * @param debit the number of the first debit after the mark was recorded
     * @param headroom the capacity less the level, in tokens
     */
    public record Mark(long debit, double headroom) {}
}
