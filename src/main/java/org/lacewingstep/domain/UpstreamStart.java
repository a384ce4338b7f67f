package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * One start of an upstream; an upstream that crashes and returns has another one.
 *
 * @param upstream the upstream, not null
 * @param startedAtMillis when the upstream process started, in milliseconds since the epoch
 */
public record UpstreamStart(UpstreamName upstream, long startedAtMillis) {
    /** Checks that the upstream is present. */
    public UpstreamStart {
        Validate.notNull(upstream, "upstream");
    }
}
