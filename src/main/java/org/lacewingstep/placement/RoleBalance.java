package org.lacewingstep.placement;

/**
 * Chooses how many engines of a service process prompts and how many generate output, by the occupancy of both roles.
 * Answers loads at which the engines of one role are full while those of the other are idle.
 */
public final class RoleBalance {
    /** Occupancy of the fuller role below which no engine changes its role. */
    private static final double MIN_OCCUPANCY = 0.3;

    /** Least decrease of the occupancy of the fuller role that justifies a change, as a fraction of this occupancy. */
    private static final double MIN_IMPROVEMENT = 0.1;

    /** Largest fraction of the engines of a role that change at the same time; they serve no requests meanwhile. */
    private static final double MAX_CHANGING_FRACTION = 0.25;

    /**
     * Weight of the occupancy of prefill; below 1 because prompts wait for a fraction of a second where requests wait
     * for memory for seconds.
     */
    private static final double PREFILL_WEIGHT = 0.8;

    /**
     * Highest occupancy that a change may leave to the role that loses engines; a burst of twice the load then still
     * finds a place, and the change itself takes some seconds in which neither role has the engine.
     */
    private static final double MAX_REMAINING_OCCUPANCY = 0.55;

    /** Engines that each role keeps, so that the loss of one engine leaves another. */
    private static final int MIN_ENGINES = 2;

    private RoleBalance() {}

    /**
     * The engines of one role.
     *
     * @param engines the number of engines
     * @param occupancy the mean fraction of an engine that is in use, from 0; above 1 if the memory is overcommitted
     */
    public record RoleLoad(int engines, double occupancy) {
        private double occupancyWith(final int otherEngines) {
            return occupancy * engines / otherEngines;
        }
    }

    /**
     * Computes the fraction of the time in which an engine is busy from the mean number of prompts at the engine. An
     * engine processes one prompt after the other, so the number grows without bound as the engine becomes busy.
     *
     * @param prompts the mean number of prompts that are processed or wait, from 0
     * @return the fraction, from 0 to 1, by the formula for random arrivals and equal processing times
     */
    public static double busyFraction(final double prompts) {
        return prompts + 1 - Math.sqrt(prompts * prompts + 1);
    }

    /**
     * Computes how many engines should change from prefill to decode.
     *
     * @param prefill the engines that process prompts, not null
     * @param decode the engines that generate output, not null
     * @return the number of engines, negative if engines should change from decode to prefill, zero for no change
     */
    public static int engineChange(final RoleLoad prefill, final RoleLoad decode) {
        final double present = fuller(prefill, decode, 0);
        if (present < MIN_OCCUPANCY) {
            return 0;
        }
        int best = 0;
        double least = present * (1 - MIN_IMPROVEMENT);
        for (int change = -maxChange(decode); change <= maxChange(prefill); change++) {
            final double occupancy = fuller(prefill, decode, change);
            if (occupancy < least && remainingOccupancy(prefill, decode, change) <= MAX_REMAINING_OCCUPANCY) {
                best = change;
                least = occupancy;
            }
        }
        return best;
    }

    private static double fuller(final RoleLoad prefill, final RoleLoad decode, final int change) {
        return Math.max(
                PREFILL_WEIGHT * prefill.occupancyWith(prefill.engines() - change),
                decode.occupancyWith(decode.engines() + change));
    }

    private static double remainingOccupancy(final RoleLoad prefill, final RoleLoad decode, final int change) {
        return change > 0
                ? prefill.occupancyWith(prefill.engines() - change)
                : decode.occupancyWith(decode.engines() + change);
    }

    private static int maxChange(final RoleLoad role) {
        final int fraction = Math.max(1, (int) (role.engines() * MAX_CHANGING_FRACTION));
        return Math.max(0, Math.min(fraction, role.engines() - MIN_ENGINES));
    }
}
