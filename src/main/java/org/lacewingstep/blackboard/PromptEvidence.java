package org.lacewingstep.blackboard;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamStart;

/**
 * What an instance reports about a part of prompts that is suspected of crashing upstreams.
 *
 * <p>Times are ages at the time of the report, since instances have no common clock.
 *
 * @param position the highest position of the part in a prompt, from zero
 * @param crashes crashes of upstreams that ran a request with the part, not null
 * @param servedAge time since the sender last received a response to a request with the part, empty if it never has
 */
public record PromptEvidence(int position, List<CrashReport> crashes, Optional<Duration> servedAge) {
    /** Copies the list. */
    public PromptEvidence {
        crashes = List.copyOf(crashes);
    }

    /**
     * A crash of an upstream.
     *
     * @param start the start of the upstream that ended with the crash, not null
     * @param age time since the crash, not null
     * @param begun whether the upstream had sent events of a response to a request with the part
     * @param calls the calls with the part that broke off, as far as they are counted, not null
     */
    public record CrashReport(UpstreamStart start, Duration age, boolean begun, Set<RequestIdentifier> calls) {
        /** Copies the set. */
        public CrashReport {
            calls = Set.copyOf(calls);
        }
    }
}
