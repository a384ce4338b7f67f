package org.lacewingstep.domain;

/** The result of a claim of an idempotency key in the store. */
public enum ClaimOutcome {
    GRANTED,
    HELD_BY_ANOTHER,
    UNKNOWN
}
