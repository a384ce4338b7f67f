package org.lacewingstep.blackboard;

import java.util.List;

import org.lacewingstep.domain.Incarnation;

/**
 * Debits from the slots of one team's budget.
 *
 * @param parts the parts, not null
 */
public record TokenDebits(List<Part> parts) {
    /** No debit. */
    public static final TokenDebits NONE = new TokenDebits(List.of());

    /** Copies the parts. */
    public TokenDebits {
        parts = List.copyOf(parts);
    }

    /**
     * Adds a part.
     *
     * @param part the part, not null
     * @return the debits with it, never null
     */
    public TokenDebits with(final Part part) {
        final List<Part> next = new java.util.ArrayList<>(parts);
        next.add(part);
        return new TokenDebits(next);
    }

    /**
     * Adds the tokens of all parts.
     *
     * @return the sum
     */
    public long tokens() {
        return parts.stream().mapToLong(Part::tokens).sum();
    }

    /**
     * A debit from one slot.
     *
     * @param home the process that holds the slot, not null
     * @param slot the slot
     * @param number the debit's number in that slot
     * @param tokens the tokens taken
     */
    public record Part(Incarnation home, int slot, long number, long tokens) {}
}
