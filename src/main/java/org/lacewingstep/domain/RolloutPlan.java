package org.lacewingstep.domain;

import java.time.Instant;

import org.lacewingstep.error.Validate;

/**
 * How far the rollout of a service has come; the store holds at most one plan for each service, and all instances
 * follow it.
 *
 * @param service the service, not null
 * @param target the version that is rolled out, not null
 * @param order the store's revision of the order that the plan carries out
 * @param stage the stage, not null
 * @param startedAt when the rollout was started, by the clock of the instance that started it, not null
 * @param tally what was known of the requests to both versions when the plan was written, not null
 * @param author the instance that wrote the plan, not null
 */
public record RolloutPlan(
        ServiceName service,
        VersionName target,
        long order,
        Stage stage,
        Instant startedAt,
        Tally tally,
        InstanceName author) {
    /** Validates the components. */
    public RolloutPlan {
        Validate.notNull(service, "service");
        Validate.notNull(target, "target");
        Validate.notNull(stage, "stage");
        Validate.notNull(startedAt, "start");
        Validate.notNull(tally, "tally");
        Validate.notNull(author, "author");
    }

    /**
     * Copies this plan for another stage.
     *
     * @param next the next stage, not null
     * @param known what is known of the requests, not null
     * @param writer the instance that writes the plan, not null
     * @return the copy, never null
     */
    public RolloutPlan with(final Stage next, final Tally known, final InstanceName writer) {
        return new RolloutPlan(service, target, order, next, startedAt, known, writer);
    }

    /** The stage of a rollout. */
    public enum Stage {
        /** The version receives a small share of the requests until it is judged. */
        PROBING,
        /** The version was found good; all requests move to it. */
        SHIFTING,
        /** The rollout is finished; the other versions stop. */
        SUCCEEDED,
        /** The version was found bad or could not be judged; it receives no requests. */
        ROLLED_BACK;

        /**
         * Returns whether no other stage follows.
         *
         * @return true if the rollout has ended
         */
        public boolean isFinal() {
            return this == SUCCEEDED || this == ROLLED_BACK;
        }
    }

    /**
     * Requests to a service since the order.
     *
     * @param requests number of requests to all versions
     * @param exposed number of requests to the version that is rolled out
     * @param bad number of bad responses of this version
     */
    public record Tally(long requests, long exposed, long bad) {
        /** No requests. */
        public static final Tally NONE = new Tally(0, 0, 0);

        /**
         * Combines two tallies of the same requests of which either may lack some.
         *
         * @param other the other tally, not null
         * @return the larger number of each kind, never null
         */
        public Tally max(final Tally other) {
            return new Tally(
                    Math.max(requests, other.requests), Math.max(exposed, other.exposed), Math.max(bad, other.bad));
        }
    }
}
