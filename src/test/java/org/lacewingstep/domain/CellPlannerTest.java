package org.lacewingstep.domain;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests {@link CellPlanner}. */
class CellPlannerTest {
    private static final ServiceName SERVICE = new ServiceName("pattern");

    @Test
    void assignsUpstreamsOfEveryRoleToEveryCell() {
        final Map<UpstreamName, UpstreamRole> roles = roles(3, 10);
        final Map<UpstreamName, CellName> cells = CellPlanner.assign(SERVICE, roles, Map.of(), 4);
        for (final CellName cell : Set.copyOf(cells.values())) {
            assertThat(roles.keySet())
                    .anyMatch(name -> cells.get(name).equals(cell) && roles.get(name) == UpstreamRole.PREFILL)
                    .anyMatch(name -> cells.get(name).equals(cell) && roles.get(name) == UpstreamRole.DECODE);
        }
        assertThat(Set.copyOf(cells.values())).hasSize(3);
    }

    @Test
    void keepsEarlierAssignments() {
        final Map<UpstreamName, CellName> before = CellPlanner.assign(SERVICE, roles(3, 6), Map.of(), 4);
        final Map<UpstreamName, CellName> after = CellPlanner.assign(SERVICE, roles(5, 9), before, 4);
        assertThat(after).containsAllEntriesOf(before).hasSize(14);
    }

    private static Map<UpstreamName, UpstreamRole> roles(final int prefills, final int decodes) {
        final Map<UpstreamName, UpstreamRole> roles = new HashMap<>();
        for (int index = 0; index < prefills; index++) {
            roles.put(new UpstreamName("prefill-" + index), UpstreamRole.PREFILL);
        }
        for (int index = 0; index < decodes; index++) {
            roles.put(new UpstreamName("decode-" + index), UpstreamRole.DECODE);
        }
        return roles;
    }
}
