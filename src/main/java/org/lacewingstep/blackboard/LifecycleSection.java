package org.lacewingstep.blackboard;

import java.time.Instant;

/**
 * Whether this process is starting, ready or draining.
 *
 * @param stage the stage, not null
 */
public record LifecycleSection(Stage stage) implements Section {
    /** The section of a process that starts. */
    public static final LifecycleSection INITIAL = new LifecycleSection(new Stage.Starting());

    /** A stage of the life of a process. */
    public sealed interface Stage {
        /** Not ready for callers yet. */
        record Starting() implements Stage {}

        /** Serves callers. */
        record Ready() implements Stage {}

        /**
         * Finishes what it has accepted.
         *
         * @param since when the stop was requested, not null
         */
        record Draining(Instant since) implements Stage {}

        /**
         * Has nothing left and leaves the roster.
         *
         * @param since when it began to leave, not null
         */
        record Leaving(Instant since) implements Stage {}

        /** May exit. */
        record Stopped() implements Stage {}
    }

    /**
     * Tells whether the balancer should send callers here.
     *
     * @return true if ready
     */
    public boolean isReady() {
        return stage instanceof Stage.Ready;
    }
}
