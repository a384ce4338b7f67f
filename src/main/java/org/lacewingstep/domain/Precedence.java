package org.lacewingstep.domain;

import java.util.Comparator;

/**
 * The priorities that the operators gave to the team and the route of a call. The team's decides, and the route's where
 * those of the teams are equal.
 *
 * @param team the priority of the team, 0 for the first
 * @param route the priority of the route, 0 for the first
 */
public record Precedence(int team, int route) implements Comparable<Precedence> {
    /** Priority of teams and routes that state none; in the middle of the values that engines take, 0 to 9. */
    public static final int DEFAULT_PRIORITY = 5;

    private static final Comparator<Precedence> ORDER =
            Comparator.comparingInt(Precedence::team).thenComparingInt(Precedence::route);

    @Override
    public int compareTo(final Precedence other) {
        return ORDER.compare(this, other);
    }
}
