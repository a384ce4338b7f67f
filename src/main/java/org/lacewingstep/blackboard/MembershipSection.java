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
 * The roster and this process's standing in it.
 *
 * @param agreement the roster and whether it has settled, not null
 * @param standing what vouches for this process, not null
 * @param peerView what is known of the peers, not null
 * @param platformView what the platform shows of the members, not null
 */
public record MembershipSection(Agreement agreement, Standing standing, PeerView peerView, PlatformView platformView)
        implements HomeSection {
    /** The section of a process that starts. */
    public static final MembershipSection INITIAL =
            new MembershipSection(Agreement.NONE, Standing.NONE, PeerView.EMPTY, PlatformView.EMPTY);

    /**
     * Gets the roster adopted last.
     *
     * @return the roster, never null
     */
    public Roster roster() {
        return agreement.roster();
    }

    /**
     * Finds the home of a shard.
     *
     * @param shard the shard, not null
     * @return the home, empty while the roster is empty
     */
    public Optional<Member> home(final Shard shard) {
        return Rendezvous.home(shard, roster());
    }

    /**
     * Tells whether a process is the home of a shard.
     *
     * @param shard the shard, not null
     * @param process the process, not null
     * @return true if the roster names it
     */
    public boolean isHome(final Shard shard, final Incarnation process) {
        return home(shard)
                .filter(member -> member.incarnation().equals(process))
                .isPresent();
    }

    /**
     * Tells whether this process may act on shards that it holds.
     *
     * @param self this process, not null
     * @param now the present time, not null
     * @return true if it is a member and something vouches for it
     */
    public boolean mayAct(final Incarnation self, final Instant now) {
        return roster().contains(self) && standing.isVouched(now);
    }

    /**
     * Tells whether a member is worth asking.
     *
     * @param member the member, not null
     * @param self this process, not null
     * @param silenceLimit the longest silence, not null
     * @param now the present time, not null
     * @return true if it is this process or was heard recently
     */
    public boolean isReachable(
            final Incarnation member, final Incarnation self, final Duration silenceLimit, final Instant now) {
        return member.equals(self) || peerView.isHeard(member, silenceLimit, now);
    }

    /**
     * Lists the members other than one process.
     *
     * @param self the process left out, not null
     * @return the members, never null
     */
    public List<Member> others(final Incarnation self) {
        return roster().members().stream()
                .filter(member -> !member.incarnation().equals(self))
                .toList();
    }

    /**
     * Finds the member that is a process.
     *
     * @param process the process, not null
     * @return the member, empty if the process is none
     */
    public Optional<Member> member(final Incarnation process) {
        return roster().find(process.instance())
                .filter(member -> member.incarnation().equals(process));
    }

    /**
     * Replaces the agreement.
     *
     * @param next the agreement, not null
     * @return the section with it, never null
     */
    public MembershipSection with(final Agreement next) {
        return new MembershipSection(next, standing, peerView, platformView);
    }

    /**
     * Replaces the standing.
     *
     * @param next the standing, not null
     * @return the section with it, never null
     */
    public MembershipSection with(final Standing next) {
        return new MembershipSection(agreement, next, peerView, platformView);
    }

    /**
     * Replaces what is known of the peers.
     *
     * @param next the view, not null
     * @return the section with it, never null
     */
    public MembershipSection with(final PeerView next) {
        return new MembershipSection(agreement, standing, next, platformView);
    }

    /**
     * Replaces what the platform shows.
     *
     * @param next the view, not null
     * @return the section with it, never null
     */
    public MembershipSection with(final PlatformView next) {
        return new MembershipSection(agreement, standing, peerView, next);
    }

    /**
     * The roster and whether it has settled.
     *
     * @param roster the roster adopted last, not null
     * @param revision the store's revision of the roster, zero before the first read
     * @param acknowledgedAt when the last missing acknowledgement arrived, empty while one is missing
     * @param settled whether the settle delay has passed since
     */
    public record Agreement(Roster roster, long revision, Optional<Instant> acknowledgedAt, boolean settled) {
        /** No roster read yet. */
        public static final Agreement NONE = new Agreement(Roster.EMPTY, 0, Optional.empty(), false);

        /**
         * Gets the epoch if it has settled.
         *
         * @return the epoch, zero if it has not settled
         */
        public long settledEpoch() {
            return settled ? roster.epoch() : 0;
        }
    }

    /**
     * What vouches for this process.
     *
     * @param leaseIdentifier the lease in the store, zero if there is none
     * @param vouchedUntil until when an unbroken chain of leases and list readings vouches for it, empty if none
     * @param provenUntil until when the answers of all peers prove that no later epoch has settled, empty if they don't
     * @param writeUntil until when a write of the roster is taken to be under way, empty if none is
     */
    public record Standing(
            long leaseIdentifier,
            Optional<Instant> vouchedUntil,
            Optional<Instant> provenUntil,
            Optional<Instant> writeUntil) {
        /** Nothing vouches for the process. */
        public static final Standing NONE = new Standing(0, Optional.empty(), Optional.empty(), Optional.empty());

        /**
         * Tells whether something vouches for the process.
         *
         * @param now the present time, not null
         * @return true if the process may act as a home
         */
        public boolean isVouched(final Instant now) {
            return isChained(now)
                    || provenUntil.filter(until -> !now.isAfter(until)).isPresent();
        }

        /**
         * Tells whether the chain of leases and list readings is unbroken.
         *
         * @param now the present time, not null
         * @return true if it is
         */
        public boolean isChained(final Instant now) {
            return vouchedUntil.filter(until -> !now.isAfter(until)).isPresent();
        }

        /**
         * Extends the chain, unless it had broken by the time of the reading.
         *
         * @param askedAt when the platform was asked, not null
         * @param duration how long the reading vouches, not null
         * @return the standing, never null
         */
        public Standing extend(final Instant askedAt, final Duration duration) {
            return isChained(askedAt) ? restart(askedAt, duration) : this;
        }

        /**
         * Starts the chain anew, after this process wrote itself into the roster.
         *
         * @param askedAt when the write was sent, not null
         * @param duration how long the write vouches, not null
         * @return the standing, never null
         */
        public Standing restart(final Instant askedAt, final Duration duration) {
            final Instant until = askedAt.plus(duration);
            final Instant latest = vouchedUntil.filter(until::isBefore).orElse(until);
            return new Standing(leaseIdentifier, Optional.of(latest), provenUntil, writeUntil);
        }

        /**
         * Replaces the proof by the peers.
         *
         * @param until until when it holds, empty if there is none
         * @return the standing, never null
         */
        public Standing proven(final Optional<Instant> until) {
            return new Standing(leaseIdentifier, vouchedUntil, until, writeUntil);
        }

        /**
         * Replaces the lease.
         *
         * @param lease the lease, zero for none
         * @return the standing, never null
         */
        public Standing withLease(final long lease) {
            return new Standing(lease, vouchedUntil, provenUntil, writeUntil);
        }

        /**
         * Notes a write of the roster.
         *
         * @param until until when it is taken to be under way, empty if it has ended
         * @return the standing, never null
         */
        public Standing writing(final Optional<Instant> until) {
            return new Standing(leaseIdentifier, vouchedUntil, provenUntil, until);
        }
    }
}
