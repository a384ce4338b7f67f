package org.lacewingstep.domain;

/** Kind of work whose speed is measured at an upstream. */
public enum WorkKind {
    /** Processing of one prompt token. */
    PROMPT_TOKEN,
    /** Generation of one event of a stream. */
    OUTPUT_EVENT,
    /** One plain call, from sending it to the end of its response. */
    PLAIN_CALL
}
