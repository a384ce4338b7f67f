package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * One kind of work at one start of an upstream.
 *
 * @param start the start of the upstream, not null
 * @param kind the kind of work, not null
 */
public record SpeedKey(UpstreamStart start, WorkKind kind) {
    /** Checks that both parts are present. */
    public SpeedKey {
        Validate.notNull(start, "start");
        Validate.notNull(kind, "kind");
    }
}
