package org.lacewingstep.scenario;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;

/** Carries messages between instances: late, lost, repeated and out of order, as the scenario says. */
final class FakeNetwork {
    private static final Duration REFUSAL_DELAY = Duration.ofMillis(2);

    private final Set<InstanceName> cut = new HashSet<>();
    private final VirtualFleet fleet;
    private final RandomGenerator random;

    private double lossShare;
    private long messages;
    private Duration oneWay = Duration.ofNanos(1_500_000);
    private double repeatShare;
    private Duration spread = Duration.ofNanos(200_000);

    FakeNetwork(final VirtualFleet fleet, final RandomGenerator random) {
        this.fleet = fleet;
        this.random = random;
    }

    void disturb(final double loss, final double repeat, final Duration longestDelay) {
        lossShare = loss;
        repeatShare = repeat;
        spread = longestDelay;
    }

    void cutOff(final InstanceName instance, final boolean isCut) {
        if (isCut) {
            cut.add(instance);
        } else {
            cut.remove(instance);
        }
    }

    long messages() {
        return messages;
    }

    void send(final VirtualInstance sender, final Member receiver, final PeerMessage message) {
        messages++;
        final boolean isCut = cut.contains(sender.name()) || cut.contains(receiver.name());
        if (isCut || random.nextDouble() < lossShare) {
            return;
        }
        deliver(sender, receiver, message);
        if (random.nextDouble() < repeatShare) {
            deliver(sender, receiver, message);
        }
    }

    private void deliver(final VirtualInstance sender, final Member receiver, final PeerMessage message) {
        final Duration delay = oneWay.plusNanos(random.nextLong(spread.toNanos() + 1));
        fleet.time().after(delay, () -> {
            final VirtualInstance target = fleet.find(receiver.incarnation());
            if (target == null || !target.isAlive()) {
                fleet.time()
                        .after(REFUSAL_DELAY, () -> sender.deliver(new Event.PeerUnreachable(receiver.incarnation())));
            } else {
                target.deliver(new Event.PeerMessageReceived(sender.incarnation(), message));
            }
        });
    }
}
