package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.lacewingstep.domain.Incarnation;

/**
 * The debits for one request from the slots of its team's budget.
 *
 * @param requestedAt when the first slot was queried, not null
 * @param parts the debit from each slot, not null
 */
public record TokenDebits(Instant requestedAt, List<Part> parts) {
    /** The value without any debit. */
    public static final TokenDebits NONE = new TokenDebits(Instant.EPOCH, List.of());

    /** Copies the list. */
    public TokenDebits {
        parts = List.copyOf(parts);
    }

    /**
     * Checks whether the debits are recent enough for the request to be dispatched.
     *
     * @param maxAge maximum age of the first debit, not null
     * @param now the present time, not null
     * @return true if the debits are not older or if there are none
     */
    public boolean isFresh(final Duration maxAge, final Instant now) {
        return parts.isEmpty() || !now.isAfter(requestedAt.plus(maxAge));
    }

    /**
     * Adds a debit from one slot.
     *
     * @param part the debit, not null
     * @return the updated debits, never null
     */
    public TokenDebits with(final Part part) {
        final List<Part> next = new ArrayList<>(parts);
        next.add(part);
        return new TokenDebits(requestedAt, next);
    }

    /**
     * Returns the sum of the tokens of all debits.
     *
     * @return the number of tokens
     */
    public long tokens() {
        return parts.stream().mapToLong(Part::tokens).sum();
    }

    /**
     * A debit from one slot.
     *
     * @param shardOwner the process that owned the slot when the debit was made, not null
     * @param slot the number of the slot
     * @param number the number of the debit in that slot
     * @param tokens the number of tokens debited
     */
    public record Part(Incarnation shardOwner, int slot, long number, long tokens) {}
}
