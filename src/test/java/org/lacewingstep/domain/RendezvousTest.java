package org.lacewingstep.domain;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests {@link Rendezvous}. */
class RendezvousTest {
    private static final int MEMBERS = 9;

    private final Roster roster = roster(MEMBERS, 3);

    @Test
    void findsNoShardOwnerInAnEmptyRoster() {
        assertThat(Rendezvous.shardOwner(new Shard.TeamShard(1, 0), Roster.EMPTY))
                .isEmpty();
    }

    @Test
    void slotsOfARangeHaveOwnersInDifferentFailureDomains() {
        for (int range = 0; range < TeamRange.RANGE_COUNT; range++) {
            assertThat(shardOwner(roster, range, 0).failureDomain())
                    .isNotEqualTo(shardOwner(roster, range, 1).failureDomain());
        }
    }

    @Test
    void removingASlotOwnerKeepsTheOwnerOfTheOtherSlot() {
        for (int range = 0; range < TeamRange.RANGE_COUNT; range++) {
            final Member removed = shardOwner(roster, range, 0);
            final Roster next = roster.withoutProcess(removed.incarnation());
            assertThat(shardOwner(next, range, 1)).isEqualTo(shardOwner(roster, range, 1));
        }
    }

    @Test
    void removingAFailureDomainKeepsTheOwnerOfTheOtherSlot() {
        for (int range = 0; range < TeamRange.RANGE_COUNT; range++) {
            final FailureDomainName removedDomain = shardOwner(roster, range, 0).failureDomain();
            Roster next = roster;
            for (final Member member : roster.members()) {
                next = member.failureDomain().equals(removedDomain) ? next.withoutProcess(member.incarnation()) : next;
            }
            assertThat(shardOwner(next, range, 1)).isEqualTo(shardOwner(roster, range, 1));
        }
    }

    @Test
    void addingAMemberMovesFewShards() {
        final Roster next = roster(MEMBERS + 1, 3);
        int moved = 0;
        for (int range = 0; range < TeamRange.RANGE_COUNT; range++) {
            moved += shardOwner(roster, range, 0).equals(shardOwner(next, range, 0)) ? 0 : 1;
        }
        assertThat(moved).isBetween(1, TeamRange.RANGE_COUNT / 4);
    }

    @Test
    void findsShardOwnersInASingleFailureDomain() {
        final Roster single = roster(3, 1);
        assertThat(Rendezvous.shardOwner(new Shard.TeamShard(5, 0), single)).isPresent();
        assertThat(Rendezvous.shardOwner(new Shard.TeamShard(5, 1), single)).isPresent();
    }

    private static Member shardOwner(final Roster roster, final int range, final int slot) {
        return Rendezvous.shardOwner(new Shard.TeamShard(range, slot), roster).orElseThrow();
    }

    private static Roster roster(final int memberCount, final int domainCount) {
        final List<Member> members = new ArrayList<>();
        final List<FailureDomainName> domains = new ArrayList<>();
        for (int index = 0; index < memberCount; index++) {
            final FailureDomainName domain = new FailureDomainName("domain-" + index % domainCount);
            domains.add(domain);
            members.add(new Member(
                    new Incarnation(new InstanceName("instance-" + index), 1),
                    new PeerAddress("10.0.0.1", 7000 + index),
                    domain));
        }
        return new Roster(1, members, domains);
    }
}
