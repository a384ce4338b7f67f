package org.lacewingstep.inspection;

import org.lacewingstep.error.Validate;

/** A result of the inspection of a routing table. */
public sealed interface Finding {
    /**
     * Returns the entry that the finding is about.
     *
     * @return the kind and the name of the entry, never null
     */
    String place();

    /**
     * Returns the description of the finding.
     *
     * @return a text that follows the place, never null
     */
    String message();

    /**
     * An entry that no request can use.
     *
     * @param place the entry, not blank
     * @param message why no request can use it, not blank
     */
    record Unreachable(String place, String message) implements Finding {
        /** Validates the components. */
        public Unreachable {
            Validate.notBlank(place, "place");
            Validate.notBlank(message, "message");
        }
    }

    /**
     * Limits that cannot all be met.
     *
     * @param place the entry, not blank
     * @param message the limits and why they conflict, not blank
     */
    record Contradiction(String place, String message) implements Finding {
        /** Validates the components. */
        public Contradiction {
            Validate.notBlank(place, "place");
            Validate.notBlank(message, "message");
        }
    }

    /**
     * A difference from the table in force.
     *
     * @param place the entry, not blank
     * @param message what changes, not blank
     * @param restricts whether requests that are served now may be refused or run elsewhere after the change
     */
    record Difference(String place, String message, boolean restricts) implements Finding {
        /** Validates the components. */
        public Difference {
            Validate.notBlank(place, "place");
            Validate.notBlank(message, "message");
        }
    }
}
