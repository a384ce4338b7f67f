package org.lacewingstep.blackboard;

import java.util.List;

import org.lacewingstep.error.Validate;

/**
 * What a controller decided.
 *
 * @param <S> the section that the controller writes
 * @param section the section afterwards, not null
 * @param effects what the adapters have to do, in order, not null
 * @param events what the other controllers have to know, in order, not null
 */
public record Outcome<S extends Section>(S section, List<Effect> effects, List<Event> events) {
    /** Copies the lists. */
    public Outcome {
        Validate.notNull(section, "section");
        effects = List.copyOf(effects);
        events = List.copyOf(events);
    }

    /**
     * Creates an outcome without effects or events.
     *
     * @param <S> the section's type
     * @param section the section, not null
     * @return the outcome, never null
     */
    public static <S extends Section> Outcome<S> of(final S section) {
        return new Outcome<>(section, List.of(), List.of());
    }
}
