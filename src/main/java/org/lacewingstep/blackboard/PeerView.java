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
 * What is known of the peers.
 *
 * @param peers the state of each peer, not null
 * @param heartbeats the number of heartbeats sent
 * @param sentAt when the last heartbeats were sent, by number, not null
 */
public record PeerView(PMap<Incarnation, PeerState> peers, long heartbeats, PMap<Long, Instant> sentAt) {
    /** Nothing known. */
    public static final PeerView EMPTY = new PeerView(HashTreePMap.empty(), 0, HashTreePMap.empty());

    private static final int REMEMBERED_HEARTBEATS = 16;

    /**
     * Notes an acknowledgement.
     *
     * @param peer the peer, not null
     * @param epoch the epoch acknowledged
     * @return the view, never null
     */
    public PeerView acknowledged(final Incarnation peer, final long epoch) {
        return change(
                peer,
                state -> new PeerState(
                        state.heardAt(),
                        state.epoch(),
                        Math.max(state.acknowledgedEpoch(), epoch),
                        state.settledEpoch(),
                        state.lastNumber(),
                        state.provenAt()));
    }

    /**
     * Notes a heartbeat; one that is older than the last is ignored.
     *
     * @param peer the peer, not null
     * @param beat the heartbeat, not null
     * @return the view, never null
     */
    public PeerView beat(final Incarnation peer, final PeerMessage.Heartbeat beat) {
        if (beat.number() <= find(peer).lastNumber()) {
            return this;
        }
        return change(
                peer,
                state -> new PeerState(
                        state.heardAt(),
                        beat.epoch(),
                        state.acknowledgedEpoch(),
                        beat.settledEpoch(),
                        beat.number(),
                        Optional.ofNullable(sentAt.get(beat.echo()))));
    }

    /**
     * Counts a heartbeat that is being sent.
     *
     * @param now the present time, not null
     * @return the view, never null
     */
    public PeerView countHeartbeat(final Instant now) {
        final long number = heartbeats + 1;
        return new PeerView(peers, number, sentAt.plus(number, now).minus(number - REMEMBERED_HEARTBEATS));
    }

    /**
     * Finds what is known of a peer.
     *
     * @param peer the peer, not null
     * @return the state, never null
     */
    public PeerState find(final Incarnation peer) {
        return peers.getOrDefault(peer, PeerState.UNHEARD);
    }

    /**
     * Notes that a peer was heard.
     *
     * @param peer the peer, not null
     * @param at when, empty if it was found unreachable
     * @return the view, never null
     */
    public PeerView heard(final Incarnation peer, final Optional<Instant> at) {
        return change(
                peer,
                state -> new PeerState(
                        at,
                        state.epoch(),
                        state.acknowledgedEpoch(),
                        state.settledEpoch(),
                        state.lastNumber(),
                        state.provenAt()));
    }

    /**
     * Tells whether a peer was heard recently.
     *
     * @param peer the peer, not null
     * @param silenceLimit the longest silence, not null
     * @param now the present time, not null
     * @return true if it was
     */
    public boolean isHeard(final Incarnation peer, final Duration silenceLimit, final Instant now) {
        return find(peer)
                .heardAt()
                .filter(at -> !now.isAfter(at.plus(silenceLimit)))
                .isPresent();
    }

    /**
     * Forgets peers that are no members.
     *
     * @param roster the roster, not null
     * @return the view, never null
     */
    public PeerView keepMembers(final Roster roster) {
        PMap<Incarnation, PeerState> kept = peers;
        for (final Incarnation peer : peers.keySet()) {
            kept = roster.contains(peer) ? kept : kept.minus(peer);
        }
        return new PeerView(kept, heartbeats, sentAt);
    }

    private PeerView change(final Incarnation peer, final UnaryOperator<PeerState> change) {
        return new PeerView(peers.plus(peer, change.apply(find(peer))), heartbeats, sentAt);
    }

    /**
     * What is known of a peer.
     *
     * @param heardAt when its last message arrived, empty if it was found unreachable since
     * @param epoch the epoch in its last heartbeat
     * @param acknowledgedEpoch the highest epoch that it has acknowledged
     * @param settledEpoch the epoch that has settled there, by its last heartbeat
     * @param lastNumber the number of its last heartbeat
     * @param provenAt when this process sent the heartbeat that the peer's last one answered, empty if none
     */
    public record PeerState(
            Optional<Instant> heardAt,
            long epoch,
            long acknowledgedEpoch,
            long settledEpoch,
            long lastNumber,
            Optional<Instant> provenAt) {
        /** A peer that was never heard. */
        public static final PeerState UNHEARD = new PeerState(Optional.empty(), 0, 0, 0, 0, Optional.empty());
    }
}
