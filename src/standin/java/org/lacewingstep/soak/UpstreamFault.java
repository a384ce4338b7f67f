package org.lacewingstep.soak;

import java.util.List;

/** The fault that is currently injected into an upstream. */
sealed interface UpstreamFault {
    /** The faults of every soak, in the order in which a seed selects them. */
    List<UpstreamFault> BASIC_FAULTS = List.of(new Refuses(), new Cuts(), new LosesResponses(), new NoResponse());

    /** Returns whether requests that run during this fault must still be answered completely. */
    default boolean isSound() {
        return this instanceof None || this instanceof Silent;
    }

    /** Serves normally. */
    record None() implements UpstreamFault {}

    /** Rejects every request without running it. */
    record Refuses() implements UpstreamFault {}

    /** Breaks off every response. */
    record Cuts() implements UpstreamFault {}

    /** Runs every request and resets the connection instead of responding. */
    record LosesResponses() implements UpstreamFault {}

    /** Runs every request and never responds. */
    record NoResponse() implements UpstreamFault {}

    /**
     * Pauses once in every response and then continues.
     *
     * @param eventsBefore the number of events before the pause, or {@link #BEFORE_HEAD}
     * @param milliseconds the length of the pause
     */
    record Silent(int eventsBefore, long milliseconds) implements UpstreamFault {
        static final int BEFORE_HEAD = -1;
    }

    /**
     * Rejects a request and writes the same rejection again before the response to the next request of the connection.
     *
     * @param identified whether the second copy carries the identifier of the rejected request
     */
    record RepeatsRefusal(boolean identified) implements UpstreamFault {}

    /** Says in every response that it leaves, and goes on serving until it restarts. */
    record Leaves() implements UpstreamFault {}

    /** Rejects every request and names a time of return. */
    record NamesReturn() implements UpstreamFault {
        static final long PAUSE_MILLISECONDS = 1500;
    }

    /** Breaks off every event stream and responds with an error when a stream is resumed. */
    record BreaksStreams() implements UpstreamFault {}
}
