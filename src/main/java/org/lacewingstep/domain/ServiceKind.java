package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/** Kind of a service, with the model or the path prefix by which requests select the service. */
public sealed interface ServiceKind {
    /**
     * Returns whether a request may be sent again after an attempt that an upstream may have executed.
     *
     * @return true if the request may be sent again
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
     * @param model the name of the model in requests, not blank
     */
    record Model(String model) implements ServiceKind {
        /** Validates the name. */
        public Model {
            Validate.notBlank(model, "model");
        }
    }

    /**
     * An HTTP service without prefill and decode stages.
     *
     * @param pathPrefix the prefix of the path in requests, starting with a slash
     * @param repeatable whether upstreams may execute a call more than once
     * @param tokensPerCall the number of tokens that a call takes from the team's budget, zero or more
     */
    record Plain(String pathPrefix, boolean repeatable, long tokensPerCall) implements ServiceKind {
        /** Validates the path prefix and the token cost. */
        public Plain {
            Validate.isTrue(pathPrefix != null && pathPrefix.startsWith("/"), "path", "a path that starts with /");
            Validate.notNegative(tokensPerCall, "tokens_per_call");
        }
    }
}
