package org.lacewingstep.controller;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.RegionName;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.TeamAllowance;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.UpstreamRole;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that a call which outlives its team in the routing table stays in the regions of the team. */
class RemovedTeamTest {
    private static final FailureDomainName ABROAD = new FailureDomainName("abroad");

    @Test
    void begunCallOfARemovedTeamStaysInTheRegionsOfTheTeam() {
        final SiteFixture site = new SiteFixture(true);
        final RoutingTable open = SiteFixture.table(1, 1_000_000);
        final TeamAllowance allowance =
                new TeamAllowance(SiteFixture.TEAM, 1_000_000, 1_000_000, true, 200, Set.of(new RegionName("region")));
        site.readStore(
                withTeams(open, 1, Map.of(SiteFixture.TEAM, allowance)),
                List.of(
                        SiteFixture.upstream(
                                "ledger-1", SiteFixture.LEDGER, UpstreamRole.PLAIN, SiteFixture.LOCAL_DOMAIN),
                        SiteFixture.upstream("ledger-3", SiteFixture.LEDGER, UpstreamRole.PLAIN, ABROAD)));
        final RequestIdentifier request = site.call("/read/x");
        final Send first = site.lastSend(request);
        site.changeStore(new StoreChange.TableWritten(
                withTeams(SiteFixture.table(2, 1_000_000, Map.of()), 2, Map.of()), new StoreRevision(0, 2)));

        site.endAttempt(request, new CallResult.Broken(false, false));

        assertThat(site.instructions(request).stream().filter(Send.class::isInstance))
                .containsExactly(first);
    }

    private static RoutingTable withTeams(
            final RoutingTable table, final long version, final Map<TeamName, TeamAllowance> teams) {
        return new RoutingTable(version, table.routes(), table.services(), teams, table.keys(), table.limits());
    }
}
