package org.lacewingstep.controller;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;

/** Simulates the content of the store that the instances of a fleet share: items, changes and copies. */
final class FleetStore {
    private final Map<UpstreamName, RegisteredUpstream> registered = new LinkedHashMap<>();
    private final Set<FailureDomainName> takenOut = new HashSet<>();
    private final List<WrittenChange> written = new ArrayList<>();

    private long era;
    private long number = 101;
    private RoutingTable table;
    private StoreRevision tableRevision = new StoreRevision(0, 1);

    /** A change and the number of its revision. */
    private record WrittenChange(long number, StoreChange change) {}

    /** The content of the store at one moment. */
    record Copy(
            Map<UpstreamName, RegisteredUpstream> registered,
            Set<FailureDomainName> takenOut,
            RoutingTable table,
            long tableNumber,
            long number) {}

    FleetStore(final RoutingTable table, final List<RegisteredUpstream> upstreams) {
        this.table = table;
        upstreams.forEach(upstream -> registered.put(upstream.name(), upstream));
    }

    /** Writes a change; a routing table gets the store's revision. */
    void write(final StoreChange change) {
        number++;
        StoreChange stored = change;
        switch (change) {
            case StoreChange.UpstreamRegistered(RegisteredUpstream upstream) ->
                registered.put(upstream.name(), upstream);
            case StoreChange.UpstreamUnregistered(UpstreamName name) -> registered.remove(name);
            case StoreChange.DomainOutOfService(FailureDomainName domain) -> takenOut.add(domain);
            case StoreChange.DomainInService(FailureDomainName domain) -> takenOut.remove(domain);
            case StoreChange.TableWritten(RoutingTable newTable, StoreRevision ignored) -> {
                table = newTable;
                tableRevision = revision();
                stored = new StoreChange.TableWritten(newTable, tableRevision);
            }
            default -> {}
        }
        written.add(new WrittenChange(number, stored));
    }

    /** Advances the revision by writes of no interest, as the heartbeats of upstreams are. */
    void advance(final long writes) {
        number += Math.max(0, writes);
    }

    Copy copy() {
        return new Copy(Map.copyOf(registered), Set.copyOf(takenOut), table, tableRevision.number(), number);
    }

    /** Replaces the content with that of a copy; revisions go back, and the next era begins. */
    void restore(final Copy copy) {
        era++;
        registered.clear();
        registered.putAll(copy.registered());
        takenOut.clear();
        takenOut.addAll(copy.takenOut());
        table = copy.table();
        tableRevision = new StoreRevision(era, copy.tableNumber());
        number = copy.number();
        written.removeIf(change -> change.number() > copy.number());
    }

    List<StoreChange> content(final List<Member> members) {
        final List<StoreChange> content = new ArrayList<>();
        content.add(new StoreChange.TableWritten(table, tableRevision));
        members.forEach(member -> content.add(new StoreChange.InstanceRegistered(member)));
        registered.values().forEach(upstream -> content.add(new StoreChange.UpstreamRegistered(upstream)));
        takenOut.forEach(domain -> content.add(new StoreChange.DomainOutOfService(domain)));
        return content;
    }

    List<StoreChange> changesAfter(final StoreRevision known) {
        return written.stream()
                .filter(change -> change.number() > known.number())
                .map(WrittenChange::change)
                .toList();
    }

    long era() {
        return era;
    }

    StoreRevision revision() {
        return new StoreRevision(era, number);
    }

    RoutingTable table() {
        return table;
    }

    StoreRevision tableRevision() {
        return tableRevision;
    }
}
