package org.lacewingstep.domain;

/** Role of an upstream: processing prompts, generating output, or serving plain HTTP calls. */
public enum UpstreamRole {
    DECODE,
    PLAIN,
    PREFILL
}
