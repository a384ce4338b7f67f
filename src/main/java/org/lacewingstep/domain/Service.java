package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * A service, the requests that it accepts and the callers that may use it.
 *
 * @param name the name of the service, not null
 * @param kind the kind of service and how requests select it, not null
 * @param access the access rule of the service, not null
 */
public record Service(ServiceName name, ServiceKind kind, Access access) {
    /** Validates the components. */
    public Service {
        Validate.notNull(name, "service");
        Validate.notNull(kind, "kind");
        Validate.notNull(access, "access");
    }
}
