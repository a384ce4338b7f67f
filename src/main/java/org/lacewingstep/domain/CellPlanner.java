package org.lacewingstep.domain;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.lacewingstep.error.Validate;

/** Assigns upstreams to cells; an upstream that has a cell keeps it. */
public final class CellPlanner {
    private CellPlanner() {}

    /**
     * Assigns the upstreams of one service.
     *
     * @param service the service, not null
     * @param roles the role of each upstream, not null
     * @param previous earlier assignments, not null
     * @param upstreamsPerCell the wanted size of a cell, more than zero
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
        final List<CellName> cells = cells(service, roles, assigned, upstreamsPerCell);
        roles.keySet().stream()
                .sorted()
                .filter(name -> !assigned.containsKey(name))
                .forEach(name -> assigned.put(name, smallest(cells, roles.get(name), roles, assigned)));
        return assigned;
    }

    private static List<CellName> cells(
            final ServiceName service,
            final Map<UpstreamName, UpstreamRole> roles,
            final Map<UpstreamName, CellName> assigned,
            final int upstreamsPerCell) {
        if (!assigned.isEmpty()) {
            return assigned.values().stream().distinct().sorted().toList();
        }
        final List<CellName> cells = new ArrayList<>();
        final int count = count(roles.values(), upstreamsPerCell);
        for (int index = 0; index < count; index++) {
            cells.add(new CellName(service + "#" + index));
        }
        return cells;
    }

    private static int count(final Collection<UpstreamRole> roles, final int upstreamsPerCell) {
        int smallestPool = roles.size();
        for (final UpstreamRole role : UpstreamRole.values()) {
            final int size = (int) roles.stream().filter(role::equals).count();
            smallestPool = size > 0 ? Math.min(smallestPool, size) : smallestPool;
        }
        return Math.max(1, Math.min(Math.ceilDiv(roles.size(), upstreamsPerCell), smallestPool));
    }

    private static CellName smallest(
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
