package org.lacewingstep.domain;

import java.time.Duration;

import org.lacewingstep.error.Validate;

/**
 * How urgent a call is compared with others of its service. The order of urgencies begins with the most urgent one.
 *
 * @param rank the rank, from 0 for the most urgent calls to 9
 */
public record Urgency(int rank) implements Comparable<Urgency> {
    /** The highest rank, of the least urgent calls. */
    public static final int LAST_RANK = 9;

    /** Urgency of a call whose route and team state none. */
    public static final Urgency DEFAULT = new Urgency(5);

    /** Validates the rank. */
    public Urgency {
        Validate.isTrue(rank >= 0 && rank <= LAST_RANK, "urgency", "from 0 to 9");
    }

    /**
     * Creates the urgency that is nearest to a rank.
     *
     * @param rank any rank
     * @return the urgency, never null
     */
    public static Urgency nearest(final long rank) {
        return new Urgency((int) Math.clamp(rank, 0, LAST_RANK));
    }

    /**
     * Returns the urgency of a call that has waited: one rank more for each latency target, so that no call starves.
     *
     * @param waited how long the call has waited; nothing changes if a clock was set back, not null
     * @param latencyTarget the latency target of the call, positive
     * @return the urgency, never null
     */
    public Urgency after(final Duration waited, final Duration latencyTarget) {
        return nearest(rankAfter(waited, latencyTarget));
    }

    /**
     * Returns the rank of a call that has waited, without a bound: a call that waits long enough precedes all others.
     *
     * @param waited how long the call has waited; nothing changes if a clock was set back, not null
     * @param latencyTarget the latency target of the call, positive
     * @return the rank, possibly negative
     */
    public long rankAfter(final Duration waited, final Duration latencyTarget) {
        return rank - Math.max(0, waited.dividedBy(latencyTarget));
    }

    @Override
    public int compareTo(final Urgency other) {
        return Integer.compare(rank, other.rank);
    }

    /**
     * Returns whether this urgency precedes another one.
     *
     * @param other the other urgency, not null
     * @return true if this is more urgent
     */
    public boolean isBefore(final Urgency other) {
        return rank < other.rank;
    }
}
