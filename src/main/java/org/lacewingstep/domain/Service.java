package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * A service with its route.
 *
 * @param name the name, not null
 * @param kind what it offers, not null
 * @param access who may use it, not null
 */
public record Service(ServiceName name, ServiceKind kind, Access access) {
    /** Checks the parts. */
    public Service {
        Validate.notNull(name, "service");
        Validate.notNull(kind, "kind");
        Validate.notNull(access, "access");
    }
}
