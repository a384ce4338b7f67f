package org.lacewingstep.domain;

import java.util.Map;

import org.lacewingstep.error.Validate;

/**
 * Changes of engine roles that one instance has planned and orders from the engines; at most one plan is in the store.
 *
 * @param author the instance that wrote the plan and sends its orders, not null
 * @param changes the planned change of each engine, not null
 */
public record RolePlan(InstanceName author, Map<UpstreamName, Change> changes) {
    /** Validates the components and copies the map. */
    public RolePlan {
        Validate.notNull(author, "author");
        changes = Map.copyOf(changes);
    }

    /**
     * The change of one engine.
     *
     * @param role the role that the engine is to take, not null
     * @param startedAtMillis the start time of the engine process that the change applies to, in milliseconds since the
     *     epoch; an engine that restarts has its original role
     */
    public record Change(UpstreamRole role, long startedAtMillis) {
        /** Validates the components. */
        public Change {
            Validate.notNull(role, "role");
        }
    }

    /**
     * Returns whether the plan contains a change that an engine has not made yet.
     *
     * @param engine the engine as registered, not null
     * @return true if the plan applies to this process of the engine and names another role than the registered one
     */
    public boolean isPending(final RegisteredUpstream engine) {
        final Change change = changes.get(engine.name());
        return change != null && change.startedAtMillis() == engine.startedAtMillis() && change.role() != engine.role();
    }
}
