package org.lacewingstep.controller;

import java.util.ArrayList;
import java.util.List;

import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.Section;

/** Collects the effects and follow-up events of a decision. */
final class OutcomeBuilder {
    private final List<Effect> effects = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();

    /**
     * Adds an effect.
     *
     * @param effect the effect, not null
     */
    void add(final Effect effect) {
        effects.add(effect);
    }

    /**
     * Adds an event.
     *
     * @param event the event, not null
     */
    void add(final Event event) {
        events.add(event);
    }

    /**
     * Creates the outcome from the section and the collected effects and events.
     *
     * @param <S> the section's type
     * @param section the updated section, not null
     * @return the outcome, never null
     */
    <S extends Section> Outcome<S> outcome(final S section) {
        return new Outcome<>(section, effects, events);
    }
}
