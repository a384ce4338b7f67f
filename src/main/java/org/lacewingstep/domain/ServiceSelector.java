package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/** Selects a service by the model name or by the path of a request. */
public sealed interface ServiceSelector {
    /**
     * Returns whether this selector matches a service of the given kind.
     *
     * @param kind the kind of the service, not null
     * @return true if the selector matches
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
     * Selects a service by the name of its model.
     *
     * @param model the name of the model, not blank
     */
    record ByModel(String model) implements ServiceSelector {
        /** Validates the name. */
        public ByModel {
            Validate.notBlank(model, "model");
        }
    }

    /**
     * Selects a service whose path prefix matches the path of the request.
     *
     * @param path the path of the request, not blank
     */
    record ByPath(String path) implements ServiceSelector {
        /** Validates the path. */
        public ByPath {
            Validate.notBlank(path, "path");
        }
    }
}
