package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * Responses that are counted together during a rollout.
 *
 * @param service the service, not null
 * @param order the store's revision of the order to roll out
 * @param version the version of the upstreams, not null
 * @param route the name of the route, not null
 * @param part which of a few parts of the version's upstreams; shows whether all upstreams or only some respond badly
 */
public record AnswerGroup(ServiceName service, long order, VersionName version, String route, int part) {
    /** Validates the components. */
    public AnswerGroup {
        Validate.notNull(service, "service");
        Validate.notNull(version, "version");
        Validate.notNull(route, "route");
    }
}
