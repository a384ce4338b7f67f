package org.lacewingstep.blackboard;

import java.time.Instant;
import java.util.Map;

import org.lacewingstep.domain.Demand;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.ServiceUrgency;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What the other instances reported of the calls that ask for memory there, and the sums over all reports.
 *
 * @param reports the last report of each other instance, not null
 * @param totals the sum of the reports by service and urgency, not null
 */
public record SiteDemand(PMap<InstanceName, DemandReport> reports, PMap<ServiceUrgency, Demand> totals) {
    /** No reports. */
    public static final SiteDemand NONE = new SiteDemand(HashTreePMap.empty(), HashTreePMap.empty());

    /**
     * The demand at another instance.
     *
     * @param at when the report arrived, not null
     * @param demand the demand by service and urgency, not null
     */
    public record DemandReport(Instant at, Map<ServiceUrgency, Demand> demand) {
        /** Copies the map. */
        public DemandReport {
            demand = Map.copyOf(demand);
        }
    }

    /**
     * Replaces the report of an instance.
     *
     * @param instance the instance, not null
     * @param report the report, not null
     * @return the updated demand, never null
     */
    public SiteDemand withReport(final InstanceName instance, final DemandReport report) {
        final SiteDemand without = without(instance);
        if (report.demand().isEmpty()) {
            return without;
        }
        PMap<ServiceUrgency, Demand> next = without.totals;
        for (final Map.Entry<ServiceUrgency, Demand> entry : report.demand().entrySet()) {
            next = next.plus(
                    entry.getKey(),
                    next.getOrDefault(entry.getKey(), Demand.NONE).plus(entry.getValue()));
        }
        return new SiteDemand(without.reports.plus(instance, report), next);
    }

    /**
     * Drops the reports of instances that have sent none since.
     *
     * @param oldest reports that arrived before this time are dropped, not null
     * @return the updated demand, never null
     */
    public SiteDemand withoutOlderThan(final Instant oldest) {
        SiteDemand next = this;
        for (final Map.Entry<InstanceName, DemandReport> entry : reports.entrySet()) {
            if (entry.getValue().at().isBefore(oldest)) {
                next = next.without(entry.getKey());
            }
        }
        return next;
    }

    private SiteDemand without(final InstanceName instance) {
        final DemandReport report = reports.get(instance);
        if (report == null) {
            return this;
        }
        PMap<ServiceUrgency, Demand> next = totals;
        for (final Map.Entry<ServiceUrgency, Demand> entry : report.demand().entrySet()) {
            final Demand rest = next.getOrDefault(entry.getKey(), Demand.NONE).minus(entry.getValue());
            next = rest.equals(Demand.NONE) ? next.minus(entry.getKey()) : next.plus(entry.getKey(), rest);
        }
        return new SiteDemand(reports.minus(instance), next);
    }
}
