package org.lacewingstep.controller;

import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.domain.StoreRevision;

/** Tells what comes from the present era of the store from what an earlier era left behind. */
final class StoreEras {
    private static final String REASON = "the response is of an earlier era of the store";

    private StoreEras() {}

    /**
     * Finds the latest revision that an event names.
     *
     * @param event the event, not null
     * @return the revision, empty if the event names none, never null
     */
    static Optional<StoreRevision> latestRevision(final Event event) {
        return switch (event) {
            case Event.StoreRead read -> Optional.of(read.revision());
            case Event.StoreChanged changed -> Optional.of(changed.revision());
            case Event.TableConfirmed confirmed -> Optional.of(confirmed.revision());
            case Event.PeerMessageReceived(var sender, PeerMessage.UpstreamDepartures departures) ->
                Optional.of(departures.revision());
            case Event.PeerMessageReceived(var sender, PeerMessage.StoreUpdate update) ->
                Optional.of(
                        update.tableRevision().isAfter(update.revision()) ? update.tableRevision() : update.revision());
            default -> Optional.empty();
        };
    }

    /**
     * Returns the revision of an item that the store is to compare with. A number of an earlier era may by now belong
     * to another item, so the item counts as absent until it has been read in the present era.
     *
     * @param board the blackboard, not null
     * @param known the known revision of the item, not null
     * @return the revision in the present era, never null
     */
    static StoreRevision expected(final Blackboard board, final StoreRevision known) {
        final long era = board.serving().store().era();
        return known.era() == era ? known : StoreRevision.absent(era);
    }

    /**
     * Replaces a response that the store gave in an earlier era by its failure, so that it is requested again.
     *
     * @param board the blackboard, not null
     * @param event the event, not null
     * @return the event itself if it is no such response, never null
     */
    static Event withoutOutdated(final Blackboard board, final Event event) {
        if (latestRevision(event)
                .filter(revision -> revision.era() < board.serving().store().era())
                .isEmpty()) {
            return event;
        }
        return switch (event) {
            case Event.StoreRead read -> new Event.StoreWatchFailed(false, REASON);
            case Event.StoreChanged changed -> new Event.StoreWatchFailed(false, REASON);
            case Event.TableConfirmed confirmed -> new Event.TableConfirmationFailed(REASON);
            // A relay may learn of the era later; its messages are compared by revision.
            default -> event;
        };
    }
}
