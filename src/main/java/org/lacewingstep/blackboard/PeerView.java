package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.UnaryOperator;

import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Roster;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The heartbeats and acknowledgements received from the peers.
 *
 * @param peers the state of each peer, not null
 * @param heartbeats the number of heartbeats sent so far
 * @param sentAt when each of the last heartbeats was sent, by number, not null
 */
public record PeerView(PMap<Incarnation, PeerState> peers, long heartbeats, PMap<Long, Instant> sentAt) {
    /** The view before the first message of any peer. */
    public static final PeerView EMPTY = new PeerView(HashTreePMap.empty(), 0, HashTreePMap.empty());

    private static final int MAX_RECORDED_HEARTBEATS = 16;

    /**
     * Records an acknowledgement of an epoch by a peer.
     *
     * @param peer the peer, not null
     * @param epoch the acknowledged epoch
     * @return the updated view, never null
     */
    public PeerView acknowledged(final Incarnation peer, final long epoch) {
        return update(
                peer,
                state -> new PeerState(
                        state.heardAt(),
                        state.epoch(),
                        Math.max(state.acknowledgedEpoch(), epoch),
                        state.settledEpoch(),
                        state.lastNumber(),
                        state.confirmedAt()));
    }

    /**
     * Records a heartbeat of a peer; a heartbeat that is not newer than the last one is ignored.
     *
     * @param peer the peer, not null
     * @param heartbeat the heartbeat, not null
     * @return the updated view, never null
     */
    public PeerView applyHeartbeat(final Incarnation peer, final PeerMessage.Heartbeat heartbeat) {
        if (heartbeat.number() <= find(peer).lastNumber()) {
            return this;
        }
        return update(
                peer,
                state -> new PeerState(
                        state.heardAt(),
                        heartbeat.epoch(),
                        state.acknowledgedEpoch(),
                        heartbeat.settledEpoch(),
                        heartbeat.number(),
                        Optional.ofNullable(sentAt.get(heartbeat.echo()))));
    }

    /**
     * Counts the next heartbeat to the peers and records when it is sent.
     *
     * @param now the present time, not null
     * @return the updated view, never null
     */
    public PeerView countHeartbeat(final Instant now) {
        final long number = heartbeats + 1;
        return new PeerView(peers, number, sentAt.plus(number, now).minus(number - MAX_RECORDED_HEARTBEATS));
    }

    /**
     * Returns the state of a peer.
     *
     * @param peer the peer, not null
     * @return the state, that of a peer without messages if none arrived; never null
     */
    public PeerState find(final Incarnation peer) {
        return peers.getOrDefault(peer, PeerState.UNHEARD);
    }

    /**
     * Records that a message of a peer arrived or that the peer was found unreachable.
     *
     * @param peer the peer, not null
     * @param heardAt when the message arrived, empty if the peer was found unreachable
     * @return the updated view, never null
     */
    public PeerView withLastMessage(final Incarnation peer, final Optional<Instant> heardAt) {
        return update(
                peer,
                state -> new PeerState(
                        heardAt,
                        state.epoch(),
                        state.acknowledgedEpoch(),
                        state.settledEpoch(),
                        state.lastNumber(),
                        state.confirmedAt()));
    }

    /**
     * Checks whether a message of a peer arrived within a timeout.
     *
     * @param peer the peer, not null
     * @param timeout the time without a message after which a peer counts as unreachable, not null
     * @param now the present time, not null
     * @return true if a message arrived within the timeout
     */
    public boolean isRecentlyHeard(final Incarnation peer, final Duration timeout, final Instant now) {
        return find(peer).heardAt().filter(at -> !now.isAfter(at.plus(timeout))).isPresent();
    }

    /**
     * Removes peers that are not members.
     *
     * @param roster the roster, not null
     * @return the updated view, never null
     */
    public PeerView retainMembers(final Roster roster) {
        PMap<Incarnation, PeerState> kept = peers;
        for (final Incarnation peer : peers.keySet()) {
            kept = roster.contains(peer) ? kept : kept.minus(peer);
        }
        return new PeerView(kept, heartbeats, sentAt);
    }

    private PeerView update(final Incarnation peer, final UnaryOperator<PeerState> change) {
        return new PeerView(peers.plus(peer, change.apply(find(peer))), heartbeats, sentAt);
    }

    /**
     * The state of one peer, by its messages.
     *
     * @param heardAt when the last message arrived, empty if the peer was found unreachable since
     * @param epoch the epoch in the peer's last heartbeat
     * @param acknowledgedEpoch the highest epoch that the peer has acknowledged
     * @param settledEpoch the epoch that has settled at the peer, by the peer's last heartbeat
     * @param lastNumber the number of the peer's last heartbeat
     * @param confirmedAt when this process sent the heartbeat whose number the peer's last heartbeat echoed, empty if
     *     unknown
     */
    public record PeerState(
            Optional<Instant> heardAt,
            long epoch,
            long acknowledgedEpoch,
            long settledEpoch,
            long lastNumber,
            Optional<Instant> confirmedAt) {
        /** The state of a peer that has sent no message. */
        public static final PeerState UNHEARD = new PeerState(Optional.empty(), 0, 0, 0, 0, Optional.empty());
    }
}
