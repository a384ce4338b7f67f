package org.lacewingstep.blackboard;

/** How an attempt at an upstream ended. */
public sealed interface CallResult {
    /** The upstream's answer is whole. */
    record Served() implements CallResult {}

    /**
     * The upstream answered with a failure of its own, which can be passed on.
     *
     * @param status the HTTP status
     */
    record FailedByUpstream(int status) implements CallResult {}

    /**
     * The request was not run.
     *
     * @param reached whether an upstream said so, or else the request was never sent
     */
    record NotRun(boolean reached) implements CallResult {}

    /**
     * The answer broke off or cannot be used; the request may have run.
     *
     * @param silent whether the upstream sent nothing for too long
     * @param begun whether the caller has received a part of the answer
     */
    record Broken(boolean silent, boolean begun) implements CallResult {}
}
