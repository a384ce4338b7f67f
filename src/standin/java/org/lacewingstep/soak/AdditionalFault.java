package org.lacewingstep.soak;

/** A kind of fault that a soak injects only if the kind is named at its start. */
public enum AdditionalFault {
    /** Upstreams pause for about a second in a response; sound runs must then be answered completely. */
    SILENCE,
    /** Upstreams write an earlier rejection again on the same connection, with the identifier of that request. */
    REPEATED_REFUSAL,
    /** Upstreams write an earlier rejection again on the same connection, without an identifier. */
    UNIDENTIFIED_REFUSAL,
    /** Event streams break off and their continuation receives an error. */
    BROKEN_STREAM,
    /** Another writer leaves an unusable entry among those of the upstreams. */
    ODD_ENTRY,
    /** A part of some prompts crashes every upstream that starts to respond. */
    CRASHING_PART,
    /** Upstreams say in their responses that they leave, or refuse requests and name a time of return. */
    NOTICE,
    /** Several configuration changes follow each other: routes are added and all keys of a team are withdrawn. */
    CONFIGURATION,
    /** The store is away for a moment and comes back from a copy that is some seconds old. */
    RESTORE
}
