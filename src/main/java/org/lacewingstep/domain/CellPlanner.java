package org.lacewingstep.domain;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.lacewingstep.error.Validate;

/** Assigns upstreams to cells. An upstream that is already assigned to a cell stays in this cell. */
public final class CellPlanner {
    private CellPlanner() {}

    /**
     * Assigns each upstream of one service to a cell.
     *
     * @param service the service, not null
     * @param roles the role of each upstream of the service, not null
     * @param previous the cell of each upstream assigned earlier, not null
     * @param upstreamsPerCell the intended number of upstreams in a cell, more than zero
     * @return the cell of each upstream, never null
     */
    public static Map<UpstreamName, CellName> assign(
            final ServiceName service,
            final Map<UpstreamName, UpstreamRole> roles,
            final Map<UpstreamName, CellName> previous,
            final int upstreamsPerCell) {
        Validate.isTrue(upstreamsPerCell > 0, "upstreams_per_cell", "more than zero");
        final Map<UpstreamName, CellName> assigned = new HashMap<>();
        for (final UpstreamName name : roles.keySet()) {
            if (previous.containsKey(name)) {
                assigned.put(name, previous.get(name));
            }
        }
        final List<CellName> cells = existingOrNewCells(service, roles, assigned, upstreamsPerCell);
        roles.keySet().stream()
                .sorted()
                .filter(name -> !assigned.containsKey(name))
                .forEach(name -> assigned.put(name, cellWithFewestOf(cells, roles.get(name), roles, assigned)));
        return assigned;
    }

    private static List<CellName> existingOrNewCells(
            final ServiceName service,
            final Map<UpstreamName, UpstreamRole> roles,
            final Map<UpstreamName, CellName> assigned,
            final int upstreamsPerCell) {
        if (!assigned.isEmpty()) {
            return assigned.values().stream().distinct().sorted().toList();
        }
        final List<CellName> cells = new ArrayList<>();
        final int count = cellCount(roles.values(), upstreamsPerCell);
        for (int index = 0; index < count; index++) {
            cells.add(new CellName(service + "#" + index));
        }
        return cells;
    }

    private static int cellCount(final Collection<UpstreamRole> roles, final int upstreamsPerCell) {
        int smallestPool = roles.size();
        for (final UpstreamRole role : UpstreamRole.values()) {
            final int size = (int) roles.stream().filter(role::equals).count();
            smallestPool = size > 0 ? Math.min(smallestPool, size) : smallestPool;
        }
        return Math.max(1, Math.min(Math.ceilDiv(roles.size(), upstreamsPerCell), smallestPool));
    }

    private static CellName cellWithFewestOf(
            final List<CellName> cells,
            final UpstreamRole role,
            final Map<UpstreamName, UpstreamRole> roles,
            final Map<UpstreamName, CellName> assigned) {
        return cells.stream()
                .min(Comparator.comparingLong((CellName cell) -> assigned.entrySet().stream()
                                .filter(entry -> entry.getValue().equals(cell) && roles.get(entry.getKey()) == role)
                                .count())
                        .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }
}
