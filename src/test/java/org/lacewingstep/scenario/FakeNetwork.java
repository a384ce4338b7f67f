package org.lacewingstep.scenario;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.peer.PeerCodec;

/** Carries messages between instances: late, lost, repeated and out of order, as the scenario says. */
final class FakeNetwork {
    /** Length of a frame and of its acknowledgement, which travels the other way. */
    private static final int FRAME_BYTES = 4 + 4 + 6;

    private static final Duration REFUSAL_DELAY = Duration.ofMillis(2);

    private final Set<InstanceName> cut = new HashSet<>();
    private final VirtualFleet fleet;
    private final RandomGenerator random;

    private long bytes;
    private boolean countsBytes;
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

    long bytes() {
        return bytes;
    }

    /** Encodes every message as the product does, so that its length can be counted. */
    void countBytes() {
        countsBytes = true;
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
        bytes += countsBytes ? length(message) : 0;
        final boolean isCut = cut.contains(sender.name()) || cut.contains(receiver.name());
        if (isCut || random.nextDouble() < lossShare) {
            return;
        }
        deliver(sender, receiver, message);
        if (random.nextDouble() < repeatShare) {
            deliver(sender, receiver, message);
        }
    }

    private static int length(final PeerMessage message) {
        try {
            final TSerializer serializer = new TSerializer(new TCompactProtocol.Factory());
            return serializer.serialize(PeerCodec.encode(message)).length + FRAME_BYTES;
        } catch (final TException failure) {
            throw new IllegalStateException(failure);
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
