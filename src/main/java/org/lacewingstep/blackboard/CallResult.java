package org.lacewingstep.blackboard;

/** The result of an attempt of a call at an upstream. */
public sealed interface CallResult {
    /** The upstream's response is complete. */
    record Served() implements CallResult {}

    /**
     * The upstream responded with a failure that can be passed on to the caller.
     *
     * @param status the HTTP status of the response
     */
    record FailedByUpstream(int status) implements CallResult {}

    /**
     * The call was not run.
     *
     * @param reached true if an upstream refused the call, false if the call was never sent
     */
    record NotRun(boolean reached) implements CallResult {}

    /**
     * The response broke off or cannot be used; the call may have run.
     *
     * @param silent whether the upstream sent no data within the time limit
     * @param begun whether the caller has received a part of the response
     */
    record Broken(boolean silent, boolean begun) implements CallResult {}
}
