package org.lacewingstep.blackboard;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Reservation;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.UpstreamName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The cells of which this process is the shard owner.
 *
 * @param cells the state of each owned cell, not null
 * @param reported reservations that each member reported for an epoch, not null
 */
public record CellSection(PMap<CellName, CellState> cells, PMap<Incarnation, ReportedReservations> reported)
        implements ShardedSection {
    /** The initial section of a process. */
    public static final CellSection INITIAL = new CellSection(HashTreePMap.empty(), HashTreePMap.empty());

    /**
     * Replaces the state of one cell.
     *
     * @param cell the cell, not null
     * @param state the new state, not null
     * @return the updated section, never null
     */
    public CellSection with(final CellName cell, final CellState state) {
        return new CellSection(cells.plus(cell, state), reported);
    }

    /**
     * Removes a reported reservation that ended before this process began to manage its cell.
     *
     * @param attempt the attempt, not null
     * @return the section without the reservation, never null
     */
    public CellSection withoutReported(final AttemptIdentifier attempt) {
        PMap<Incarnation, ReportedReservations> next = reported;
        for (final Map.Entry<Incarnation, ReportedReservations> entry : reported.entrySet()) {
            final List<Reservation> remaining = entry.getValue().reservations().stream()
                    .filter(reservation -> !reservation.attempt().equals(attempt))
                    .toList();
            next = next.plus(
                    entry.getKey(), new ReportedReservations(entry.getValue().epoch(), remaining));
        }
        return new CellSection(cells, next);
    }

    /**
     * The state of one cell.
     *
     * @param reservations the reservations that hold capacity, not null
     * @param released when each recently ended attempt ended, as a delayed load report may still contain the attempt;
     *     not null
     * @param waiting queued requests that wait for capacity, not null
     * @param served tokens counted as served to each team for fair queuing; the count of a team that starts to wait is
     *     raised to the least count among the waiting teams; not null
     * @param orphanedSince since when the owner of an attempt that holds memory is no longer a member, not null
     */
    public record CellState(
            PMap<AttemptIdentifier, HeldReservation> reservations,
            PMap<AttemptIdentifier, Instant> released,
            PVector<WaitingPlacement> waiting,
            PMap<TeamName, Long> served,
            PMap<AttemptIdentifier, Instant> orphanedSince) {
        /** A cell without reservations or queued requests. */
        public static final CellState EMPTY = new CellState(
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                TreePVector.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty());

        /**
         * Records that the owner of a reservation still uses it.
         *
         * @param attempt the attempt, not null
         * @param now the present time, not null
         * @return the updated state, never null
         */
        public CellState confirm(final AttemptIdentifier attempt, final Instant now) {
            final HeldReservation held = reservations.get(attempt);
            return held == null || held.closingAt().isPresent() ? this : addReservation(held.reservation(), now);
        }

        /**
         * Removes a request from the queue.
         *
         * @param request the request, not null
         * @return the updated state, never null
         */
        public CellState dequeue(final WaitingPlacement request) {
            return new CellState(reservations, released, waiting.minus(request), served, orphanedSince);
        }

        /**
         * Adds a request to the queue. The served count of a team without queued requests is raised to the least count
         * among the waiting teams, so that an idle team does not accumulate priority.
         *
         * @param request the request, not null
         * @return the updated state, never null
         */
        public CellState enqueue(final WaitingPlacement request) {
            final long ownServed = served.getOrDefault(request.payer(), 0L);
            final boolean teamWaits =
                    waiting.stream().anyMatch(other -> other.payer().equals(request.payer()));
            final long leastServed = waiting.stream()
                    .mapToLong(other -> served.getOrDefault(other.payer(), 0L))
                    .min()
                    .orElse(ownServed);
            final long startServed = teamWaits ? ownServed : Math.max(ownServed, leastServed);
            return new CellState(
                    reservations,
                    released,
                    waiting.plus(request),
                    served.plus(request.payer(), startServed),
                    orphanedSince);
        }

        /**
         * Adds a reservation, or records a new confirmation of an existing one.
         *
         * @param reservation the reservation, not null
         * @param now the present time, not null
         * @return the updated state, never null
         */
        public CellState addReservation(final Reservation reservation, final Instant now) {
            return new CellState(
                    reservations.plus(reservation.attempt(), new HeldReservation(reservation, now, Optional.empty())),
                    released,
                    waiting,
                    served,
                    orphanedSince);
        }

        /**
         * Releases the capacity of an attempt and removes the attempt from the queue.
         *
         * @param attempt the attempt, not null
         * @param now the present time, not null
         * @return the updated state, never null
         */
        public CellState release(final AttemptIdentifier attempt, final Instant now) {
            PVector<WaitingPlacement> remaining = waiting;
            for (final WaitingPlacement request : waiting) {
                remaining = request.attempt().equals(attempt) ? remaining.minus(request) : remaining;
            }
            return new CellState(
                    reservations.minus(attempt), released.plus(attempt, now), remaining, served, orphanedSince);
        }

        /**
         * Marks a reservation whose attempt ended without a complete response; its capacity stays reserved until the
         * upstream's load report no longer contains the attempt. An unknown attempt is released at once.
         *
         * @param attempt the attempt, not null
         * @param now the present time, not null
         * @return the updated state, never null
         */
        public CellState startClosing(final AttemptIdentifier attempt, final Instant now) {
            final HeldReservation held = reservations.get(attempt);
            if (held == null) {
                return release(attempt, now);
            }
            final HeldReservation closing =
                    new HeldReservation(held.reservation(), held.confirmedAt(), Optional.of(now));
            return new CellState(reservations.plus(attempt, closing), released, waiting, served, orphanedSince);
        }

        /**
         * Adds to the count of tokens served to a team.
         *
         * @param team the team, not null
         * @param tokens the number of tokens to add
         * @return the updated state, never null
         */
        public CellState addServedTokens(final TeamName team, final long tokens) {
            final long sum = served.getOrDefault(team, 0L) + tokens;
            return new CellState(reservations, released, waiting, served.plus(team, sum), orphanedSince);
        }

        /**
         * Replaces the attempts whose owner is no longer a member.
         *
         * @param nextOrphanedSince since when the owner of each attempt is no longer a member, not null
         * @return the updated state, never null
         */
        public CellState withOrphans(final PMap<AttemptIdentifier, Instant> nextOrphanedSince) {
            return new CellState(reservations, released, waiting, served, nextOrphanedSince);
        }

        /**
         * Replaces the recently ended attempts.
         *
         * @param nextReleased when each attempt ended, not null
         * @return the updated state, never null
         */
        public CellState withReleased(final PMap<AttemptIdentifier, Instant> nextReleased) {
            return new CellState(reservations, nextReleased, waiting, served, orphanedSince);
        }
    }

    /**
     * A reservation and the time at which its owner last confirmed it.
     *
     * @param reservation the reservation, not null
     * @param confirmedAt when the reservation was made or last confirmed, not null
     * @param closingAt when the attempt ended without a complete response, after which the upstream's load report has
     *     to show that the memory is free; empty while the attempt runs
     */
    public record HeldReservation(Reservation reservation, Instant confirmedAt, Optional<Instant> closingAt) {}

    /**
     * A queued request that waits for capacity.
     *
     * @param attempt the attempt, not null
     * @param owner the process that serves the request, not null
     * @param team the team that pays, empty on routes open to all
     * @param tokens prompt and permitted output, in tokens
     * @param pieces number of pieces of memory needed
     * @param avoided upstreams that failed the request before, not null
     * @param deadline latest time at which the request may start, not null
     */
    public record WaitingPlacement(
            AttemptIdentifier attempt,
            Incarnation owner,
            Optional<TeamName> team,
            long tokens,
            int pieces,
            PSet<UpstreamName> avoided,
            Instant deadline) {
        /** Stands for the team in the queue for requests of routes open to all, which share one served count. */
        private static final TeamName OPEN_ROUTES_TEAM = new TeamName("(open)");

        /**
         * Returns the team whose served count the request belongs to.
         *
         * @return the team, never null
         */
        public TeamName payer() {
            return team.orElse(OPEN_ROUTES_TEAM);
        }
    }

    /**
     * The reservations that one member reported for an epoch.
     *
     * @param epoch the epoch that the member acknowledged with the report
     * @param reservations the reservations, not null
     */
    public record ReportedReservations(long epoch, List<Reservation> reservations) {
        /** Copies the list. */
        public ReportedReservations {
            reservations = List.copyOf(reservations);
        }
    }
}
