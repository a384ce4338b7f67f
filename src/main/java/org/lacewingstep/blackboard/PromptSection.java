package org.lacewingstep.blackboard;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.lacewingstep.domain.PromptPart;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamStart;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The parts of prompts that are suspected of crashing upstreams, by what all instances have seen.
 *
 * @param suspicions the parts that have not been served since an upstream crashed on them, not null
 * @param responses when requests with each part last received a response, not null
 * @param changed the parts that the next report to the other instances must contain, not null
 * @param repeatDue when the evidence is next reported again although nothing has changed, not null
 */
public record PromptSection(
        PMap<PromptPart, Suspicion> suspicions,
        PMap<PromptPart, LastResponse> responses,
        PSet<PromptPart> changed,
        Instant repeatDue)
        implements ServingSection {
    /** The initial section of a process. */
    public static final PromptSection INITIAL =
            new PromptSection(HashTreePMap.empty(), HashTreePMap.empty(), HashTreePSet.empty(), Instant.EPOCH);

    /**
     * Returns when requests with a part last received a response.
     *
     * @param part the part, not null
     * @return the times, never null
     */
    public LastResponse lastResponse(final PromptPart part) {
        return responses.getOrDefault(part, LastResponse.NEVER);
    }

    /**
     * Counts the parts of prompts for which requests are refused.
     *
     * @return the number of quarantined parts
     */
    public long quarantinedParts() {
        return suspicions.values().stream()
                .filter(suspicion -> suspicion.quarantinedAt().isPresent())
                .count();
    }

    /**
     * Copies this section with other suspicions.
     *
     * @param next the parts that have not been served since an upstream crashed on them, not null
     * @return the copy, never null
     */
    public PromptSection withSuspicions(final PMap<PromptPart, Suspicion> next) {
        return new PromptSection(next, responses, changed, repeatDue);
    }

    /**
     * Copies this section with other times of responses.
     *
     * @param next when requests with each part last received a response, not null
     * @return the copy, never null
     */
    public PromptSection withResponses(final PMap<PromptPart, LastResponse> next) {
        return new PromptSection(suspicions, next, changed, repeatDue);
    }

    /**
     * Copies this section with another part that the next report must contain.
     *
     * @param part the part, not null
     * @return the copy, never null
     */
    public PromptSection withChanged(final PromptPart part) {
        return new PromptSection(suspicions, responses, changed.plus(part), repeatDue);
    }

    /**
     * Copies this section after a report to the other instances.
     *
     * @param nextRepeatDue when the evidence is next reported again, not null
     * @return the copy, never null
     */
    public PromptSection withReported(final Instant nextRepeatDue) {
        return new PromptSection(suspicions, responses, HashTreePSet.empty(), nextRepeatDue);
    }

    /**
     * Crashes of upstreams on requests with a part.
     *
     * @param position the highest position of the part in a prompt, from zero
     * @param crashes the crashes since the part was last served, oldest first, not null
     * @param quarantinedAt since when requests with the part are refused, empty if they are not
     * @param trial the limit of requests with the part to one at a time, empty if they are not limited
     */
    public record Suspicion(int position, List<Crash> crashes, Optional<Instant> quarantinedAt, Optional<Trial> trial) {
        /** Copies the list. */
        public Suspicion {
            crashes = List.copyOf(crashes);
        }

        /**
         * Creates the suspicion of a part whose requests are neither refused nor limited.
         *
         * @param position the highest position of the part in a prompt, from zero
         * @param crashes the crashes since the part was last served, oldest first, not null
         */
        public Suspicion(final int position, final List<Crash> crashes) {
            this(position, crashes, Optional.empty(), Optional.empty());
        }

        /**
         * Copies this suspicion with other crashes.
         *
         * @param nextPosition the highest position of the part in a prompt, from zero
         * @param next the crashes since the part was last served, oldest first, not null
         * @return the copy, never null
         */
        public Suspicion withCrashes(final int nextPosition, final List<Crash> next) {
            return new Suspicion(nextPosition, next, quarantinedAt, trial);
        }
    }

    /**
     * A limit of the requests with a part to one at a time, which shows whether the part is harmful.
     *
     * @param since when the limit began, not null
     * @param request the last request that this instance has let pass, empty if none
     */
    public record Trial(Instant since, Optional<RequestIdentifier> request) {}

    /**
     * A crash of an upstream.
     *
     * @param start the start of the upstream that ended with the crash, not null
     * @param at when the crash was seen, not null
     * @param begun whether the upstream had sent events of a response to a request with the part
     * @param calls the calls with the part that broke off, at most {@value #MAX_CALLS}, not null
     */
    public record Crash(UpstreamStart start, Instant at, boolean begun, Set<RequestIdentifier> calls) {
        /** Most calls that are kept of one crash; more are no stronger evidence. */
        private static final int MAX_CALLS = 5;

        /** Copies the calls and drops those beyond the limit. */
        public Crash {
            calls = calls.stream().sorted().limit(MAX_CALLS).collect(Collectors.toUnmodifiableSet());
        }

        /**
         * Merges two reports of one crash; the earlier time is kept.
         *
         * @param other the other report of the crash, not null
         * @return the merged report, never null
         */
        public Crash merge(final Crash other) {
            final Set<RequestIdentifier> all = new HashSet<>(calls);
            all.addAll(other.calls);
            return new Crash(start, at.isBefore(other.at) ? at : other.at, begun || other.begun, all);
        }
    }

    /**
     * When requests with a part last received a response.
     *
     * @param here the last response at this instance, not null
     * @param anywhere the last response at any instance that has reported it, not null
     */
    public record LastResponse(Instant here, Instant anywhere) {
        /** The times of a part that no instance has served. */
        public static final LastResponse NEVER = new LastResponse(Instant.EPOCH, Instant.EPOCH);
    }
}
