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
 * The cells that this process is home of.
 *
 * @param cells the state of each cell held, not null
 * @param reported reservations that members reported for an epoch, not null
 */
public record CellSection(PMap<CellName, CellState> cells, PMap<Incarnation, ReportedReservations> reported)
        implements HomeSection {
    /** The section of a process that starts. */
    public static final CellSection INITIAL = new CellSection(HashTreePMap.empty(), HashTreePMap.empty());

    /**
     * Replaces the state of a cell.
     *
     * @param cell the cell, not null
     * @param state the state, not null
     * @return the section with it, never null
     */
    public CellSection with(final CellName cell, final CellState state) {
        return new CellSection(cells.plus(cell, state), reported);
    }

    /**
     * Forgets a reported reservation that has ended before its cell was taken up.
     *
     * @param attempt the attempt, not null
     * @return the section without it, never null
     */
    public CellSection withoutReported(final AttemptIdentifier attempt) {
        PMap<Incarnation, ReportedReservations> next = reported;
        for (final Map.Entry<Incarnation, ReportedReservations> entry : reported.entrySet()) {
            final List<Reservation> left = entry.getValue().reservations().stream()
                    .filter(reservation -> !reservation.attempt().equals(attempt))
                    .toList();
            next = next.plus(
                    entry.getKey(), new ReportedReservations(entry.getValue().epoch(), left));
        }
        return new CellSection(cells, next);
    }

    /**
     * State of one cell.
     *
     * @param reservations the room given out, not null
     * @param released attempts that ended lately, which lagging load reports may still show, not null
     * @param waiting requests that wait for room, not null
     * @param served tokens served to each team, counted as if every team had always waited, not null
     * @param orphanedSince since when the owner of held memory is no member, not null
     */
    public record CellState(
            PMap<AttemptIdentifier, Held> reservations,
            PMap<AttemptIdentifier, Instant> released,
            PVector<WaitingPlacement> waiting,
            PMap<TeamName, Long> served,
            PMap<AttemptIdentifier, Instant> orphanedSince) {
        /** A cell without work. */
        public static final CellState EMPTY = new CellState(
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                TreePVector.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty());

        /**
         * Notes that an owner still uses a reservation.
         *
         * @param attempt the attempt, not null
         * @param now the present time, not null
         * @return the state, never null
         */
        public CellState confirm(final AttemptIdentifier attempt, final Instant now) {
            final Held held = reservations.get(attempt);
            return held == null || held.closingAt().isPresent() ? this : hold(held.reservation(), now);
        }

        /**
         * Removes a request from the queue.
         *
         * @param request the request, not null
         * @return the state, never null
         */
        public CellState dequeue(final WaitingPlacement request) {
            return new CellState(reservations, released, waiting.minus(request), served, orphanedSince);
        }

        /**
         * Adds a request to the queue. A team that comes back to the queue is brought up to the least served team that
         * waits, so that it cannot claim what it did not use while it was away.
         *
         * @param request the request, not null
         * @return the state, never null
         */
        public CellState enqueue(final WaitingPlacement request) {
            final long own = served.getOrDefault(request.payer(), 0L);
            final boolean present =
                    waiting.stream().anyMatch(other -> other.payer().equals(request.payer()));
            final long least = waiting.stream()
                    .mapToLong(other -> served.getOrDefault(other.payer(), 0L))
                    .min()
                    .orElse(own);
            final long entry = present ? own : Math.max(own, least);
            return new CellState(
                    reservations, released, waiting.plus(request), served.plus(request.payer(), entry), orphanedSince);
        }

        /**
         * Holds room for a reservation.
         *
         * @param reservation the reservation, not null
         * @param now the present time, not null
         * @return the state, never null
         */
        public CellState hold(final Reservation reservation, final Instant now) {
            return new CellState(
                    reservations.plus(reservation.attempt(), new Held(reservation, now, Optional.empty())),
                    released,
                    waiting,
                    served,
                    orphanedSince);
        }

        /**
         * Gives the room of an attempt back, or withdraws it from the queue.
         *
         * @param attempt the attempt, not null
         * @param now the present time, not null
         * @return the state, never null
         */
        public CellState release(final AttemptIdentifier attempt, final Instant now) {
            PVector<WaitingPlacement> left = waiting;
            for (final WaitingPlacement request : waiting) {
                left = request.attempt().equals(attempt) ? left.minus(request) : left;
            }
            return new CellState(reservations.minus(attempt), released.plus(attempt, now), left, served, orphanedSince);
        }

        /**
         * Ends a reservation without an answer; its room stays held until the upstream shows that it is free.
         *
         * @param attempt the attempt, not null
         * @param now the present time, not null
         * @return the state, never null
         */
        public CellState close(final AttemptIdentifier attempt, final Instant now) {
            final Held held = reservations.get(attempt);
            if (held == null) {
                return release(attempt, now);
            }
            final Held closing = new Held(held.reservation(), held.confirmedAt(), Optional.of(now));
            return new CellState(reservations.plus(attempt, closing), released, waiting, served, orphanedSince);
        }

        /**
         * Counts tokens served to a team.
         *
         * @param team the team, not null
         * @param tokens the tokens
         * @return the state, never null
         */
        public CellState serve(final TeamName team, final long tokens) {
            final long sum = served.getOrDefault(team, 0L) + tokens;
            return new CellState(reservations, released, waiting, served.plus(team, sum), orphanedSince);
        }

        /**
         * Replaces what is known of orphaned memory.
         *
         * @param since since when each owner is no member, not null
         * @return the state, never null
         */
        public CellState withOrphans(final PMap<AttemptIdentifier, Instant> since) {
            return new CellState(reservations, released, waiting, served, since);
        }

        /**
         * Replaces the attempts that ended lately.
         *
         * @param ended the attempts, not null
         * @return the state, never null
         */
        public CellState withReleased(final PMap<AttemptIdentifier, Instant> ended) {
            return new CellState(reservations, ended, waiting, served, orphanedSince);
        }
    }

    /**
     * A reservation and when its owner last confirmed it.
     *
     * @param reservation the reservation, not null
     * @param confirmedAt when it was made or confirmed, not null
     * @param closingAt when it was released without an answer, so that the upstream has to show that it is free; empty
     *     while it lives
     */
    public record Held(Reservation reservation, Instant confirmedAt, Optional<Instant> closingAt) {}

    /**
     * A request that waits for room.
     *
     * @param attempt the attempt, not null
     * @param owner the process that asked, not null
     * @param team the team that pays, empty for routes open to all
     * @param tokens prompt and permitted output in tokens
     * @param pieces pieces of memory needed
     * @param avoided upstreams that failed the request before, not null
     * @param deadline when it is too late to start, not null
     */
    public record WaitingPlacement(
            AttemptIdentifier attempt,
            Incarnation owner,
            Optional<TeamName> team,
            long tokens,
            int pieces,
            PSet<UpstreamName> avoided,
            Instant deadline) {
        /** Requests of routes open to all share one place in the queue. */
        private static final TeamName ANONYMOUS = new TeamName("(open)");

        /**
         * Finds the team that the queue counts the request for.
         *
         * @return the team, never null
         */
        public TeamName payer() {
            return team.orElse(ANONYMOUS);
        }
    }

    /**
     * Reservations of one member, reported for an epoch.
     *
     * @param epoch the epoch
     * @param reservations the reservations, not null
     */
    public record ReportedReservations(long epoch, List<Reservation> reservations) {
        /** Copies the list. */
        public ReportedReservations {
            reservations = List.copyOf(reservations);
        }
    }
}
