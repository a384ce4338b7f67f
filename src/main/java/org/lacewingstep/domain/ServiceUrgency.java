package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * The calls of one urgency to one service.
 *
 * @param service the service, not null
 * @param urgency the urgency, not null
 */
public record ServiceUrgency(ServiceName service, Urgency urgency) {
    /** Validates the components. */
    public ServiceUrgency {
        Validate.notNull(service, "service");
        Validate.notNull(urgency, "urgency");
    }
}
