package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/** What a service offers and how callers name it. */
public sealed interface ServiceKind {
    /**
     * Tells whether a request that may have run may be sent again.
     *
     * @return true if it may
     */
    default boolean isRepeatable() {
        return switch (this) {
            case Model(String model) -> true;
            case Plain(String pathPrefix, boolean repeatable, long tokensPerCall) -> repeatable;
        };
    }

    /**
     * A model served by prefill and decode upstreams.
     *
     * @param model the model's name in requests, not blank
     */
    record Model(String model) implements ServiceKind {
        /** Checks the name. */
        public Model {
            Validate.notBlank(model, "model");
        }
    }

    /**
     * A plain HTTP service.
     *
     * @param pathPrefix the first part of the path, starting with a slash
     * @param repeatable whether its calls may be repeated
     * @param tokensPerCall what a call costs of the team's budget, zero or more
     */
    record Plain(String pathPrefix, boolean repeatable, long tokensPerCall) implements ServiceKind {
        /** Checks path and cost. */
        public Plain {
            Validate.isTrue(pathPrefix != null && pathPrefix.startsWith("/"), "path", "a path that starts with /");
            Validate.notNegative(tokensPerCall, "tokens_per_call");
        }
    }
}
