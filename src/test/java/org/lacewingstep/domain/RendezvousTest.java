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
    void findsNoHomeInAnEmptyRoster() {
        assertThat(Rendezvous.home(new Shard.TeamShard(1, 0), Roster.EMPTY)).isEmpty();
    }

    @Test
    void putsTheSlotsOfARangeIntoDifferentFailureDomains() {
        for (int range = 0; range < TeamRange.COUNT; range++) {
            assertThat(home(roster, range, 0).failureDomain())
                    .isNotEqualTo(home(roster, range, 1).failureDomain());
        }
    }

    @Test
    void leavesTheOtherSlotWhereItIsWhenAHomeDies() {
        for (int range = 0; range < TeamRange.COUNT; range++) {
            final Member dead = home(roster, range, 0);
            final Roster next = roster.without(dead.incarnation());
            assertThat(home(next, range, 1)).isEqualTo(home(roster, range, 1));
        }
    }

    @Test
    void leavesTheOtherSlotWhereItIsWhenAFailureDomainDies() {
        for (int range = 0; range < TeamRange.COUNT; range++) {
            final FailureDomainName dead = home(roster, range, 0).failureDomain();
            Roster next = roster;
            for (final Member member : roster.members()) {
                next = member.failureDomain().equals(dead) ? next.without(member.incarnation()) : next;
            }
            assertThat(home(next, range, 1)).isEqualTo(home(roster, range, 1));
        }
    }

    @Test
    void movesFewShardsWhenAMemberJoins() {
        final Roster next = roster(MEMBERS + 1, 3);
        int moved = 0;
        for (int range = 0; range < TeamRange.COUNT; range++) {
            moved += home(roster, range, 0).equals(home(next, range, 0)) ? 0 : 1;
        }
        assertThat(moved).isBetween(1, TeamRange.COUNT / 4);
    }

    @Test
    void findsHomesInASingleFailureDomain() {
        final Roster single = roster(3, 1);
        assertThat(Rendezvous.home(new Shard.TeamShard(5, 0), single)).isPresent();
        assertThat(Rendezvous.home(new Shard.TeamShard(5, 1), single)).isPresent();
    }

    private static Member home(final Roster roster, final int range, final int slot) {
        return Rendezvous.home(new Shard.TeamShard(range, slot), roster).orElseThrow();
    }

    private static Roster roster(final int members, final int domains) {
        final List<Member> list = new ArrayList<>();
        final List<FailureDomainName> names = new ArrayList<>();
        for (int index = 0; index < members; index++) {
            final FailureDomainName domain = new FailureDomainName("domain-" + index % domains);
            names.add(domain);
            list.add(new Member(
                    new Incarnation(new InstanceName("instance-" + index), 1),
                    new PeerAddress("10.0.0.1", 7000 + index),
                    domain));
        }
        return new Roster(1, list, names);
    }
}
