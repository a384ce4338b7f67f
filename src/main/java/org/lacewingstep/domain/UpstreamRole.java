package org.lacewingstep.domain;

/** The work that an upstream does. */
public enum UpstreamRole {
    DECODE,
    PLAIN,
    PREFILL
}
