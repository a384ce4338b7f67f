package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.lacewingstep.domain.Incarnation;

/**
 * Debits from the slots of one team's budget.
 *
 * @param askedAt when the first slot was asked, not null
 * @param parts the parts, not null
 */
public record TokenDebits(Instant askedAt, List<Part> parts) {
    /** No debit. */
    public static final TokenDebits NONE = new TokenDebits(Instant.EPOCH, List.of());

    /** Copies the parts. */
    public TokenDebits {
        parts = List.copyOf(parts);
    }

    /**
     * Tells whether the debits are young enough for a request to be dispatched on them.
     *
     * @param grantLife how old they may be, not null
     * @param now the present time, not null
     * @return true if they are, or if there are none
     */
    public boolean isFresh(final Duration grantLife, final Instant now) {
        return parts.isEmpty() || !now.isAfter(askedAt.plus(grantLife));
    }

    /**
     * Adds a part.
     *
     * @param part the part, not null
     * @return the debits with it, never null
     */
    public TokenDebits with(final Part part) {
        final List<Part> next = new ArrayList<>(parts);
        next.add(part);
        return new TokenDebits(askedAt, next);
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
