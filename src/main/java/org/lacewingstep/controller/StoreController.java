package org.lacewingstep.controller;

import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Decision;
import org.lacewingstep.blackboard.Decision.Input;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.StoreSection;

/** Keeps the highest era of the platform's store that a response has named. */
public final class StoreController implements Controller<StoreSection> {
    @Override
    public Class<StoreSection> section() {
        return StoreSection.class;
    }

    @Override
    public Outcome<StoreSection> step(final Blackboard board, final Event event, final Instant now) {
        final StoreSection store = board.serving().store();
        return switch (event) {
            case Event.StoreEraObserved(Optional<Long> era, String header) ->
                era.filter(named -> !store.seen() || named >= store.era()).isPresent()
                        ? observe(store, era.get(), now)
                        : reportUnusable(store, header);
            default ->
                StoreEras.latestRevision(event)
                        .map(revision -> observe(store, revision.era(), now))
                        .orElseGet(() -> Outcome.of(store));
        };
    }

    private static Outcome<StoreSection> observe(final StoreSection store, final long era, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        if (!store.seen()) {
            builder.add(log(era == 0 ? "names no era" : "era first seen", store, Input.of("named", era)));
            return builder.outcome(new StoreSection(era, true, store.restoredAt()));
        }
        if (era <= store.era()) {
            return Outcome.of(store);
        }
        builder.add(log("came back from a copy", store, Input.of("named", era)));
        builder.add(new Event.StoreRestored(era));
        return builder.outcome(new StoreSection(era, true, Optional.of(now)));
    }

    private static Outcome<StoreSection> reportUnusable(final StoreSection store, final String header) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(log("names no era or an earlier one, not trusted", store, Input.of("header", header)));
        return builder.outcome(store);
    }

    private static Effect log(final String outcome, final StoreSection store, final Input named) {
        return new Effect.Log(Decision.of("store", outcome, Input.of("era", store.era()), named));
    }
}
