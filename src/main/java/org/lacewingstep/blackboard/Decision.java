package org.lacewingstep.blackboard;

import java.util.List;
import java.util.Optional;

import org.lacewingstep.domain.RequestIdentifier;

/**
 * A decision that is written to the log.
 *
 * @param step the step that the decision belongs to, not null
 * @param request the request that the decision is about, empty if the decision is about none
 * @param outcome the outcome of the decision, not null
 * @param inputs the values that the decision was based on, not null
 */
public record Decision(String step, Optional<RequestIdentifier> request, String outcome, List<Input> inputs) {
    /** Copies the list. */
    public Decision {
        inputs = List.copyOf(inputs);
    }

    /**
     * Creates a decision about a request.
     *
     * @param step the step that the decision belongs to, not null
     * @param request the request, not null
     * @param outcome the outcome of the decision, not null
     * @param inputs the values that the decision was based on, not null
     * @return the decision, never null
     */
    public static Decision on(
            final String step, final RequestIdentifier request, final String outcome, final Input... inputs) {
        return new Decision(step, Optional.of(request), outcome, List.of(inputs));
    }

    /**
     * Creates a decision that is not about a request.
     *
     * @param step the step that the decision belongs to, not null
     * @param outcome the outcome of the decision, not null
     * @param inputs the values that the decision was based on, not null
     * @return the decision, never null
     */
    public static Decision of(final String step, final String outcome, final Input... inputs) {
        return new Decision(step, Optional.empty(), outcome, List.of(inputs));
    }

    /**
     * A named value that a decision was based on.
     *
     * @param name the name of the value, with its unit, not null
     * @param value the value as text, not null
     */
    public record Input(String name, String value) {
        /**
         * Creates an input from a value and its text form.
         *
         * @param name the name of the value, with its unit, not null
         * @param value the value, not null
         * @return the input, never null
         */
        public static Input of(final String name, final Object value) {
            return new Input(name, String.valueOf(value));
        }
    }
}
