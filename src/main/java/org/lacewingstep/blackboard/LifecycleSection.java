package org.lacewingstep.blackboard;

import java.time.Instant;

/**
 * The lifecycle stage of this process.
 *
 * @param stage the current stage, not null
 */
public record LifecycleSection(Stage stage) implements Section {
    /** The initial section of a process. */
    public static final LifecycleSection INITIAL = new LifecycleSection(new Stage.Starting());

    /** A stage of the lifecycle of a process. */
    public sealed interface Stage {
        /** The process is not ready to serve callers yet. */
        record Starting() implements Stage {}

        /** The process serves callers. */
        record Ready() implements Stage {}

        /**
         * The process finishes the requests that it has accepted.
         *
         * @param since when the stop was requested, not null
         */
        record Draining(Instant since) implements Stage {}

        /**
         * The process has finished its requests, or has no time left for them, and leaves the roster.
         *
         * @param since when the process began to leave the roster, not null
         */
        record Leaving(Instant since) implements Stage {}

        /** The process may exit. */
        record Stopped() implements Stage {}
    }

    /**
     * Returns whether the load balancer should send callers to this process.
     *
     * @return true if the stage is {@code Ready}
     */
    public boolean isReady() {
        return stage instanceof Stage.Ready;
    }
}
