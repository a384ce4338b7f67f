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

/** Delivers messages between instances and delays, drops, duplicates and reorders them as the scenario configures. */
final class FakeNetwork {
    /** Bytes that each message adds: the frame and its acknowledgement in the opposite direction. */
    private static final int FRAME_OVERHEAD_BYTES = 4 + 4 + 6;

    private static final Duration UNREACHABLE_DELAY = Duration.ofMillis(2);

    private final Set<InstanceName> isolatedInstances = new HashSet<>();
    private final VirtualFleet fleet;
    private final RandomGenerator random;

    private long bytes;
    private boolean countsBytes;
    private double lossProbability;
    private long messages;
    private Duration baseDelay = Duration.ofNanos(1_500_000);
    private double duplicateProbability;
    private Duration maximumExtraDelay = Duration.ofNanos(200_000);

    FakeNetwork(final VirtualFleet fleet, final RandomGenerator random) {
        this.fleet = fleet;
        this.random = random;
    }

    void setFaults(final double loss, final double duplicate, final Duration longestDelay) {
        lossProbability = loss;
        duplicateProbability = duplicate;
        maximumExtraDelay = longestDelay;
    }

    long bytes() {
        return bytes;
    }

    /** Enables the byte count, for which every message is encoded by the production codec. */
    void countBytes() {
        countsBytes = true;
    }

    void setIsolated(final InstanceName instance, final boolean isolated) {
        if (isolated) {
            isolatedInstances.add(instance);
        } else {
            isolatedInstances.remove(instance);
        }
    }

    long messages() {
        return messages;
    }

    void send(final VirtualInstance sender, final Member receiver, final PeerMessage message) {
        messages++;
        bytes += countsBytes ? frameLength(message) : 0;
        final boolean isolated =
                isolatedInstances.contains(sender.name()) || isolatedInstances.contains(receiver.name());
        if (isolated || random.nextDouble() < lossProbability) {
            return;
        }
        deliver(sender, receiver, message);
        if (random.nextDouble() < duplicateProbability) {
            deliver(sender, receiver, message);
        }
    }

    private static int frameLength(final PeerMessage message) {
        try {
            final TSerializer serializer = new TSerializer(new TCompactProtocol.Factory());
            return serializer.serialize(PeerCodec.encode(message)).length + FRAME_OVERHEAD_BYTES;
        } catch (final TException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private void deliver(final VirtualInstance sender, final Member receiver, final PeerMessage message) {
        final Duration delay = baseDelay.plusNanos(random.nextLong(maximumExtraDelay.toNanos() + 1));
        fleet.time().after(delay, () -> {
            final VirtualInstance target = fleet.find(receiver.incarnation());
            if (target == null || !target.isAlive()) {
                fleet.time()
                        .after(
                                UNREACHABLE_DELAY,
                                () -> sender.deliver(new Event.PeerUnreachable(receiver.incarnation())));
            } else {
                target.deliver(new Event.PeerMessageReceived(sender.incarnation(), message));
            }
        });
    }
}
