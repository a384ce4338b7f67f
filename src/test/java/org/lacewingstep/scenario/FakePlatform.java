package org.lacewingstep.scenario;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.lacewingstep.blackboard.Event;
import org.lacewingstep.domain.ClaimOutcome;
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Roster;

/** Simulates the key-value store and the instance list, with delays, lost responses and outages. */
final class FakePlatform {
    private static final Duration CALL_DELAY = Duration.ofMillis(3);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

    private final Map<String, RequestIdentifier> claims = new HashMap<>();
    private final Set<InstanceName> isolatedInstances = new HashSet<>();
    private final VirtualFleet fleet;
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Set<Incarnation> listed = new HashSet<>();

    private Configuration configuration = Configuration.EMPTY;
    private boolean listDown;
    private Duration listDelay = Duration.ofSeconds(2);
    private boolean losesResponses;
    private long nextLease = 1;
    private long revision;
    private Roster roster = Roster.EMPTY;
    private boolean storeDown;

    FakePlatform(final VirtualFleet fleet) {
        this.fleet = fleet;
    }

    void apply(final Configuration next) {
        configuration = next.withGeneration(configuration.generation() + 1);
    }

    Configuration configuration() {
        return configuration;
    }

    /**
     * Claims an idempotency key for a request. A lost response is reported as an unknown outcome, which only a read of
     * the claim could resolve.
     */
    void claim(final VirtualInstance caller, final RequestIdentifier request, final String name) {
        if (storeDown || isolatedInstances.contains(caller.name())) {
            fleet.time()
                    .after(CALL_TIMEOUT, () -> caller.deliver(new Event.ClaimCompleted(request, ClaimOutcome.UNKNOWN)));
            return;
        }
        fleet.time().after(CALL_DELAY, () -> {
            final boolean isHolder = request.equals(claims.computeIfAbsent(name, key -> request));
            final ClaimOutcome storedOutcome = isHolder ? ClaimOutcome.GRANTED : ClaimOutcome.HELD_BY_ANOTHER;
            final ClaimOutcome outcome = losesResponses ? ClaimOutcome.UNKNOWN : storedOutcome;
            fleet.time()
                    .after(
                            losesResponses ? CALL_TIMEOUT : CALL_DELAY,
                            () -> caller.deliver(new Event.ClaimCompleted(request, outcome)));
        });
    }

    void releaseClaim(final VirtualInstance caller, final RequestIdentifier request, final String name) {
        if (!storeDown && !losesResponses && !isolatedInstances.contains(caller.name())) {
            fleet.time().after(CALL_DELAY, () -> claims.remove(name, request));
        }
    }

    void setIsolated(final InstanceName instance, final boolean isolated) {
        if (isolated) {
            isolatedInstances.add(instance);
        } else {
            isolatedInstances.remove(instance);
        }
    }

    void setResponsesLost(final boolean lost) {
        losesResponses = lost;
    }

    /** Updates the instance list after a delay, since the list detects starts and stops late. */
    void updateInstanceList(final Incarnation process, final boolean alive) {
        fleet.time().after(listDelay, () -> {
            if (alive) {
                listed.add(process);
            } else {
                listed.remove(process);
            }
        });
    }

    void readConfiguration(final VirtualInstance caller, final long generation) {
        callStore(caller, () -> {
            final boolean newer = configuration.generation() > generation;
            return new Event.ConfigurationRead(
                    newer ? Optional.of(configuration) : Optional.empty(), configuration.generation());
        });
    }

    void readMembership(final VirtualInstance caller) {
        final Instant requestedAt = fleet.time().now();
        callStore(caller, () -> new Event.RosterRead(roster, revision));
        callStore(caller, () -> new Event.LeasesRead(leaseHolders(), requestedAt));
        if (!listDown && !isolatedInstances.contains(caller.name())) {
            fleet.time().after(CALL_DELAY, () -> caller.deliver(new Event.InstanceListRead(listed, requestedAt)));
        }
    }

    void renewLease(final VirtualInstance caller, final long lease) {
        final Instant requestedAt = fleet.time().now();
        final Duration leaseDuration = caller.policy().leaseDuration();
        callStore(caller, () -> {
            final Instant until = fleet.time().now().plus(leaseDuration);
            if (lease == 0) {
                leases.put(nextLease, new Lease(caller.incarnation(), until));
                return new Event.LeaseRenewed(nextLease++, requestedAt);
            }
            leaseHolders();
            if (!leases.containsKey(lease)) {
                return new Event.LeaseLost();
            }
            leases.put(lease, new Lease(caller.incarnation(), until));
            return new Event.LeaseRenewed(lease, requestedAt);
        });
    }

    Roster roster() {
        return roster;
    }

    void setListDown(final boolean down) {
        listDown = down;
    }

    void setStoreDown(final boolean down) {
        storeDown = down;
    }

    void writeRoster(final VirtualInstance caller, final Roster next, final long expectedRevision) {
        final Instant requestedAt = fleet.time().now();
        if (storeDown || isolatedInstances.contains(caller.name())) {
            fleet.time().after(CALL_TIMEOUT, () -> caller.deliver(new Event.RosterWriteFailed()));
            return;
        }
        fleet.time().after(CALL_DELAY, () -> {
            final boolean written = !storeDown && revision == expectedRevision;
            if (written) {
                roster = next;
                revision++;
            }
            final Event response = written && !losesResponses
                    ? new Event.RosterWritten(next, revision, requestedAt)
                    : new Event.RosterWriteFailed();
            fleet.time().after(CALL_DELAY, () -> caller.deliver(response));
        });
    }

    private void callStore(final VirtualInstance caller, final Supplier<Event> operation) {
        if (storeDown || isolatedInstances.contains(caller.name())) {
            return;
        }
        fleet.time().after(CALL_DELAY, () -> {
            if (storeDown) {
                return;
            }
            final Event response = operation.get();
            if (!losesResponses) {
                fleet.time().after(CALL_DELAY, () -> caller.deliver(response));
            }
        });
    }

    private Set<Incarnation> leaseHolders() {
        leases.values().removeIf(lease -> lease.until().isBefore(fleet.time().now()));
        final Set<Incarnation> holders = new HashSet<>();
        leases.values().forEach(lease -> holders.add(lease.holder()));
        return holders;
    }

    private record Lease(Incarnation holder, Instant until) {}
}
