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
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Roster;

/** The key-value service and the instance list. */
final class FakePlatform {
    private static final Duration CALL_DELAY = Duration.ofMillis(3);
    private static final Duration TIME_OUT = Duration.ofSeconds(3);

    private final Map<String, RequestIdentifier> claims = new HashMap<>();
    private final Set<InstanceName> cut = new HashSet<>();
    private final VirtualFleet fleet;
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Set<Incarnation> listed = new HashSet<>();

    private Configuration configuration = Configuration.EMPTY;
    private boolean listDown;
    private Duration listLag = Duration.ofSeconds(2);
    private boolean losesAnswers;
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

    /** A lost answer is resolved by reading the claim, or not at all. */
    void claim(final VirtualInstance caller, final RequestIdentifier request, final String name) {
        if (storeDown || cut.contains(caller.name())) {
            fleet.time()
                    .after(
                            TIME_OUT,
                            () -> caller.deliver(new Event.ClaimAnswered(request, Event.ClaimOutcome.UNKNOWN)));
            return;
        }
        fleet.time().after(CALL_DELAY, () -> {
            final boolean own = request.equals(claims.computeIfAbsent(name, key -> request));
            final Event.ClaimOutcome told = own ? Event.ClaimOutcome.GRANTED : Event.ClaimOutcome.HELD_BY_ANOTHER;
            final Event.ClaimOutcome outcome = losesAnswers ? Event.ClaimOutcome.UNKNOWN : told;
            fleet.time()
                    .after(
                            losesAnswers ? TIME_OUT : CALL_DELAY,
                            () -> caller.deliver(new Event.ClaimAnswered(request, outcome)));
        });
    }

    void releaseClaim(final VirtualInstance caller, final RequestIdentifier request, final String name) {
        if (!storeDown && !losesAnswers && !cut.contains(caller.name())) {
            fleet.time().after(CALL_DELAY, () -> claims.remove(name, request));
        }
    }

    void cutOff(final InstanceName instance, final boolean isCut) {
        if (isCut) {
            cut.add(instance);
        } else {
            cut.remove(instance);
        }
    }

    void loseAnswers(final boolean loses) {
        losesAnswers = loses;
    }

    /** The list notices starts and ends late. */
    void noteLiveness(final Incarnation process, final boolean alive) {
        fleet.time().after(listLag, () -> {
            if (alive) {
                listed.add(process);
            } else {
                listed.remove(process);
            }
        });
    }

    void readConfiguration(final VirtualInstance caller, final long generation) {
        call(caller, () -> {
            final boolean newer = configuration.generation() > generation;
            return new Event.ConfigurationRead(
                    newer ? Optional.of(configuration) : Optional.empty(), configuration.generation());
        });
    }

    void readPlatform(final VirtualInstance caller) {
        final Instant askedAt = fleet.time().now();
        call(caller, () -> new Event.RosterRead(roster, revision));
        call(caller, () -> new Event.LeasesRead(leased(), askedAt));
        if (!listDown && !cut.contains(caller.name())) {
            fleet.time().after(CALL_DELAY, () -> caller.deliver(new Event.InstanceListRead(listed, askedAt)));
        }
    }

    void renewLease(final VirtualInstance caller, final long lease) {
        final Instant askedAt = fleet.time().now();
        final Duration life = caller.policy().leaseDuration();
        call(caller, () -> {
            final Instant until = fleet.time().now().plus(life);
            if (lease == 0) {
                leases.put(nextLease, new Lease(caller.incarnation(), until));
                return new Event.LeaseRenewed(nextLease++, askedAt);
            }
            leased();
            if (!leases.containsKey(lease)) {
                return new Event.LeaseLost();
            }
            leases.put(lease, new Lease(caller.incarnation(), until));
            return new Event.LeaseRenewed(lease, askedAt);
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
        final Instant askedAt = fleet.time().now();
        if (storeDown || cut.contains(caller.name())) {
            fleet.time().after(TIME_OUT, () -> caller.deliver(new Event.RosterWriteFailed()));
            return;
        }
        fleet.time().after(CALL_DELAY, () -> {
            final boolean wins = !storeDown && revision == expectedRevision;
            if (wins) {
                roster = next;
                revision++;
            }
            final Event answer = wins && !losesAnswers
                    ? new Event.RosterWritten(next, revision, askedAt)
                    : new Event.RosterWriteFailed();
            fleet.time().after(CALL_DELAY, () -> caller.deliver(answer));
        });
    }

    private void call(final VirtualInstance caller, final Supplier<Event> operation) {
        if (storeDown || cut.contains(caller.name())) {
            return;
        }
        fleet.time().after(CALL_DELAY, () -> {
            if (storeDown) {
                return;
            }
            final Event answer = operation.get();
            if (!losesAnswers) {
                fleet.time().after(CALL_DELAY, () -> caller.deliver(answer));
            }
        });
    }

    private Set<Incarnation> leased() {
        leases.values().removeIf(lease -> lease.until().isBefore(fleet.time().now()));
        final Set<Incarnation> holders = new HashSet<>();
        leases.values().forEach(lease -> holders.add(lease.holder()));
        return holders;
    }

    private record Lease(Incarnation holder, Instant until) {}
}
