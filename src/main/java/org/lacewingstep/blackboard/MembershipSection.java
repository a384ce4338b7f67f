package org.lacewingstep.blackboard;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.Rendezvous;
import org.lacewingstep.domain.Roster;
import org.lacewingstep.domain.Shard;

/**
 * The roster and the membership status of this process.
 *
 * @param agreement the adopted roster and whether its epoch has settled, not null
 * @param status the lease and the membership status of this process, not null
 * @param peerView the heartbeats and acknowledgements received from the peers, not null
 * @param platformView the members' presence in the leases and in the platform's list, not null
 */
public record MembershipSection(
        Agreement agreement, MembershipStatus status, PeerView peerView, PlatformView platformView)
        implements ShardedSection {
    /** The initial section of a process. */
    public static final MembershipSection INITIAL =
            new MembershipSection(Agreement.NONE, MembershipStatus.NONE, PeerView.EMPTY, PlatformView.EMPTY);

    /**
     * Returns the roster adopted last.
     *
     * @return the roster, never null
     */
    public Roster roster() {
        return agreement.roster();
    }

    /**
     * Finds the member that owns a shard.
     *
     * @param shard the shard, not null
     * @return the shard owner, empty while the roster is empty
     */
    public Optional<Member> shardOwner(final Shard shard) {
        return Rendezvous.shardOwner(shard, roster());
    }

    /**
     * Checks whether a process is the owner of a shard.
     *
     * @param shard the shard, not null
     * @param process the process, not null
     * @return true if the adopted roster assigns the shard to the process
     */
    public boolean isShardOwner(final Shard shard, final Incarnation process) {
        return shardOwner(shard)
                .filter(member -> member.incarnation().equals(process))
                .isPresent();
    }

    /**
     * Checks whether this process may act on the shards that it owns.
     *
     * @param self this process, not null
     * @param now the present time, not null
     * @return true if this process is a member and its membership is confirmed at present
     */
    public boolean mayServeShards(final Incarnation self, final Instant now) {
        return roster().contains(self) && status.isConfirmed(now);
    }

    /**
     * Checks whether a query to a member can be expected to succeed.
     *
     * @param member the member, not null
     * @param self this process, not null
     * @param timeout the time without a message after which a peer counts as unreachable, not null
     * @param now the present time, not null
     * @return true if the member is this process or sent a message within the timeout
     */
    public boolean isReachable(
            final Incarnation member, final Incarnation self, final Duration timeout, final Instant now) {
        return member.equals(self) || peerView.isRecentlyHeard(member, timeout, now);
    }

    /**
     * Lists the members other than one process.
     *
     * @param self the process to exclude, not null
     * @return the other members, never null
     */
    public List<Member> others(final Incarnation self) {
        return roster().members().stream()
                .filter(member -> !member.incarnation().equals(self))
                .toList();
    }

    /**
     * Finds the member entry of a process.
     *
     * @param process the process, not null
     * @return the member, empty if the process is not a member
     */
    public Optional<Member> member(final Incarnation process) {
        return roster().find(process.instance())
                .filter(member -> member.incarnation().equals(process));
    }

    /**
     * Replaces the roster and its agreement state.
     *
     * @param next the new state, not null
     * @return the updated section, never null
     */
    public MembershipSection with(final Agreement next) {
        return new MembershipSection(next, status, peerView, platformView);
    }

    /**
     * Replaces the membership status.
     *
     * @param next the new status, not null
     * @return the updated section, never null
     */
    public MembershipSection with(final MembershipStatus next) {
        return new MembershipSection(agreement, next, peerView, platformView);
    }

    /**
     * Replaces the view of the peers.
     *
     * @param next the new view, not null
     * @return the updated section, never null
     */
    public MembershipSection with(final PeerView next) {
        return new MembershipSection(agreement, status, next, platformView);
    }

    /**
     * Replaces the view of the leases and of the platform's list.
     *
     * @param next the new view, not null
     * @return the updated section, never null
     */
    public MembershipSection with(final PlatformView next) {
        return new MembershipSection(agreement, status, peerView, next);
    }

    /**
     * The adopted roster and whether its epoch has settled.
     *
     * @param roster the roster adopted last, not null
     * @param revision the store's revision of the roster, zero before the first read
     * @param acknowledgedAt when the last outstanding acknowledgement arrived, empty while one is outstanding
     * @param settled whether the settle delay has passed since {@code acknowledgedAt}
     */
    public record Agreement(Roster roster, long revision, Optional<Instant> acknowledgedAt, boolean settled) {
        /** The state before the first read of the roster. */
        public static final Agreement NONE = new Agreement(Roster.EMPTY, 0, Optional.empty(), false);

        /**
         * Returns the epoch of the roster if the roster has settled.
         *
         * @return the epoch, zero if the roster has not settled
         */
        public long settledEpoch() {
            return settled ? roster.epoch() : 0;
        }
    }

    /**
     * The lease of this process and how long its membership is confirmed.
     *
     * @param leaseIdentifier the identifier of the lease in the store, zero if there is none
     * @param confirmedUntil when the membership confirmed by an unbroken chain of lease renewals and reads of the
     *     platform's list expires, empty if the chain was never started
     * @param peersConfirmedUntil until when the heartbeats of all peers confirm that no later epoch has settled, empty
     *     if they do not
     * @param writeUntil until when a write of the roster counts as in progress, empty if no write is
     */
    public record MembershipStatus(
            long leaseIdentifier,
            Optional<Instant> confirmedUntil,
            Optional<Instant> peersConfirmedUntil,
            Optional<Instant> writeUntil) {
        /** The status of a process without a lease whose membership is not confirmed. */
        public static final MembershipStatus NONE =
                new MembershipStatus(0, Optional.empty(), Optional.empty(), Optional.empty());

        /**
         * Checks whether the membership of the process is confirmed, by the chain or by the peers.
         *
         * @param now the present time, not null
         * @return true if the process may act as a shard owner
         */
        public boolean isConfirmed(final Instant now) {
            return isLeaseUnbroken(now)
                    || peersConfirmedUntil.filter(until -> !now.isAfter(until)).isPresent();
        }

        /**
         * Checks whether the chain of lease renewals and list reads is unbroken.
         *
         * @param now the present time, not null
         * @return true if the chain still confirms the membership
         */
        public boolean isLeaseUnbroken(final Instant now) {
            return confirmedUntil.filter(until -> !now.isAfter(until)).isPresent();
        }

        /**
         * Extends the chain, unless it had expired when the renewal or read was sent.
         *
         * @param requestedAt when the renewal or read was sent, not null
         * @param duration how long the renewal or read confirms the membership, not null
         * @return the updated status, never null
         */
        public MembershipStatus extendIfUnbroken(final Instant requestedAt, final Duration duration) {
            return isLeaseUnbroken(requestedAt) ? restartConfirmation(requestedAt, duration) : this;
        }

        /**
         * Restarts the chain after this process wrote a roster that contains itself.
         *
         * @param requestedAt when the write was sent, not null
         * @param duration how long the write confirms the membership, not null
         * @return the updated status, never null
         */
        public MembershipStatus restartConfirmation(final Instant requestedAt, final Duration duration) {
            final Instant until = requestedAt.plus(duration);
            final Instant latest = confirmedUntil.filter(until::isBefore).orElse(until);
            return new MembershipStatus(leaseIdentifier, Optional.of(latest), peersConfirmedUntil, writeUntil);
        }

        /**
         * Replaces the confirmation by the peers.
         *
         * @param until until when the confirmation holds, empty if there is none
         * @return the updated status, never null
         */
        public MembershipStatus withPeerConfirmation(final Optional<Instant> until) {
            return new MembershipStatus(leaseIdentifier, confirmedUntil, until, writeUntil);
        }

        /**
         * Replaces the identifier of the lease.
         *
         * @param lease the identifier of the lease, zero for none
         * @return the updated status, never null
         */
        public MembershipStatus withLease(final long lease) {
            return new MembershipStatus(lease, confirmedUntil, peersConfirmedUntil, writeUntil);
        }

        /**
         * Records the start or the end of a write of the roster.
         *
         * @param until until when the write counts as in progress, empty if it has ended
         * @return the updated status, never null
         */
        public MembershipStatus withPendingWrite(final Optional<Instant> until) {
            return new MembershipStatus(leaseIdentifier, confirmedUntil, peersConfirmedUntil, until);
        }
    }
}
