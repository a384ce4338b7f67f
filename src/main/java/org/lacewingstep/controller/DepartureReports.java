package org.lacewingstep.controller;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.RegistrySection;
import org.lacewingstep.blackboard.RegistrySection.Entry;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;

/**
 * Reports upstreams that leave to all instances of a large site.
 *
 * <p>Each relay reports to all failure domains, so that an instance learns of a departure while its own relay is out of
 * reach.
 */
final class DepartureReports {
    private DepartureReports() {}

    /**
     * Sends the departures among some changes, if this instance is a relay.
     *
     * @param board the blackboard before the changes, not null
     * @param after the registry after the changes, not null
     * @param revision the store's revision up to which changes are known
     * @param builder collects the messages, not null
     * @param now the present time, not null
     */
    static void send(
            final Blackboard board,
            final RegistrySection after,
            final StoreRevision revision,
            final OutcomeBuilder builder,
            final Instant now) {
        if (!RelayPolicy.isRelay(board, now)) {
            return;
        }
        final List<StoreChange> departures = departures(board.serving().registry(), after, now);
        if (!departures.isEmpty()) {
            sendToOthers(board, new PeerMessage.UpstreamDepartures(revision, departures), builder);
        }
    }

    /**
     * Tells all instances that the store came back from a copy, by a report without departures, if this instance is a
     * relay.
     *
     * @param board the blackboard, not null
     * @param era the era that began with it
     * @param builder collects the messages, not null
     * @param now the present time, not null
     */
    static void announceEra(final Blackboard board, final long era, final OutcomeBuilder builder, final Instant now) {
        if (RelayPolicy.isRelay(board, now)) {
            sendToOthers(board, new PeerMessage.UpstreamDepartures(StoreRevision.absent(era), List.of()), builder);
        }
    }

    private static void sendToOthers(final Blackboard board, final PeerMessage message, final OutcomeBuilder builder) {
        board.serving().site().others().forEach(member -> builder.add(new Effect.SendToPeer(member, message)));
    }

    /** Lists departures; entries that have lapsed with the store are none, as their upstreams register again. */
    private static List<StoreChange> departures(
            final RegistrySection before, final RegistrySection after, final Instant now) {
        final List<StoreChange> departures = new ArrayList<>();
        for (final Map.Entry<UpstreamName, Entry> known : before.upstreams().entrySet()) {
            final Entry earlier = known.getValue();
            final Entry current = after.upstreams().get(known.getKey());
            final boolean registered = RegistryController.isRegistered(after, current, now);
            if (!registered && RegistryController.isRegistered(before, earlier, now)) {
                departures.add(new StoreChange.UpstreamUnregistered(known.getKey()));
            } else if (registered
                    && current.upstream().draining()
                    && !earlier.upstream().draining()) {
                departures.add(new StoreChange.UpstreamRegistered(current.upstream()));
            }
        }
        return departures;
    }
}
