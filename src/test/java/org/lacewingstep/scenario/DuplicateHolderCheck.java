package org.lacewingstep.scenario;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.lacewingstep.domain.InstanceName;

/** Checks after every step that no two instances can grant from the same team budget or reserve in the same cell. */
final class DuplicateHolderCheck {
    private final List<String> conflicts = new ArrayList<>();

    List<String> conflicts() {
        return conflicts;
    }

    void check(final VirtualFleet fleet) {
        final Instant now = fleet.time().now();
        final Map<Object, InstanceName> holders = new HashMap<>();
        for (final VirtualInstance instance : fleet.living()) {
            if (instance.isRunning() && instance.board().membership().mayServeShards(instance.incarnation(), now)) {
                final List<Object> held = new ArrayList<>();
                held.addAll(instance.board().teamBudgets().budgets().keySet());
                held.addAll(instance.board().cells().cells().keySet());
                held.forEach(budget -> recordHolder(holders, budget, instance, now));
            }
        }
    }

    private void recordHolder(
            final Map<Object, InstanceName> holders,
            final Object budget,
            final VirtualInstance instance,
            final Instant now) {
        final InstanceName other = holders.put(budget, instance.name());
        if (other != null) {
            conflicts.add(now + ": " + budget + " held by " + other + " and " + instance.name());
        }
    }
}
