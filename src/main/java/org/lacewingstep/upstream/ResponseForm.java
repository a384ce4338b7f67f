package org.lacewingstep.upstream;

/** What a response is used for, which decides how long it may be and what counts as progress. */
public sealed interface ResponseForm {
    /** A short response to the router itself; the read timeout covers the whole response. */
    record ToRouter() implements ResponseForm {}

    /** A response that is collected before it is passed on; each received part counts as progress. */
    record Collected() implements ResponseForm {}

    /** A response whose successful body is passed on as it arrives; the receiver reports its progress. */
    record Streamed() implements ResponseForm {}
}
