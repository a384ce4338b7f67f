package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/** How a caller names a service. */
public sealed interface ServiceSelector {
    /**
     * Tells whether the caller means a service of this kind.
     *
     * @param kind the service's kind, not null
     * @return true if it does
     */
    default boolean selects(final ServiceKind kind) {
        return switch (this) {
            case ByModel(String model) ->
                kind instanceof ServiceKind.Model offered && offered.model().equals(model);
            case ByPath(String path) ->
                kind instanceof ServiceKind.Plain offered && isUnder(path, offered.pathPrefix());
        };
    }

    private static boolean isUnder(final String path, final String prefix) {
        return path.equals(prefix) || path.startsWith(prefix.endsWith("/") ? prefix : prefix + "/");
    }

    /**
     * By the name of a model.
     *
     * @param model the name, not blank
     */
    record ByModel(String model) implements ServiceSelector {
        /** Checks the name. */
        public ByModel {
            Validate.notBlank(model, "model");
        }
    }

    /**
     * By the path of the call.
     *
     * @param path the path, not blank
     */
    record ByPath(String path) implements ServiceSelector {
        /** Checks the path. */
        public ByPath {
            Validate.notBlank(path, "path");
        }
    }
}
