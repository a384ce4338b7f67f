package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.lacewingstep.blackboard.PromptEvidence;
import org.lacewingstep.blackboard.PromptSection;
import org.lacewingstep.blackboard.PromptSection.Crash;
import org.lacewingstep.blackboard.PromptSection.Suspicion;
import org.lacewingstep.domain.PromptPart;

/**
 * Creates the reports on suspected parts of prompts.
 *
 * <p>Every instance repeats all crashes that it knows of, whoever saw them, so that a process that starts learns them
 * from any other and a lost report is made good by the next one. Responses are reported only by the instance that
 * received them: their times would otherwise move on with each repetition.
 */
final class PromptReports {
    /** Interval at which evidence is repeated although nothing has changed. */
    static final Duration REPEAT_INTERVAL = Duration.ofSeconds(1);

    /** Time for which a part with a single crash is repeated. */
    private static final Duration SINGLE_CRASH_REPEAT_PERIOD = Duration.ofSeconds(10);

    /** Most parts in one report. */
    private static final int MAX_REPORTED_PARTS = 64;

    private static final Comparator<Map.Entry<PromptPart, Suspicion>> MOST_CRASHES_FIRST =
            Comparator.<Map.Entry<PromptPart, Suspicion>>comparingInt(
                            entry -> entry.getValue().crashes().size())
                    .thenComparing(entry -> entry.getValue().crashes().getLast().at())
                    .reversed();

    private PromptReports() {}

    /**
     * Creates the evidence for the next report to the other instances.
     *
     * @param section the suspected parts, not null
     * @param now the present time, not null
     * @return the evidence by part, empty if nothing has changed and no repetition is due; never null
     */
    static Map<PromptPart, PromptEvidence> create(final PromptSection section, final Instant now) {
        final Map<PromptPart, PromptEvidence> evidence = new HashMap<>();
        section.changed().stream()
                .limit(MAX_REPORTED_PARTS)
                .forEach(part -> evidence.put(part, describe(section, part, now)));
        if (!section.repeatDue().isAfter(now)) {
            section.suspicions().entrySet().stream()
                    .filter(entry -> isRepeated(entry.getValue(), now))
                    .sorted(MOST_CRASHES_FIRST)
                    .limit(MAX_REPORTED_PARTS)
                    .forEach(entry -> evidence.put(entry.getKey(), describe(section, entry.getKey(), now)));
        }
        return evidence;
    }

    private static boolean isRepeated(final Suspicion suspicion, final Instant now) {
        return suspicion.crashes().size() > 1
                || suspicion
                        .crashes()
                        .getLast()
                        .at()
                        .plus(SINGLE_CRASH_REPEAT_PERIOD)
                        .isAfter(now);
    }

    private static PromptEvidence describe(final PromptSection section, final PromptPart part, final Instant now) {
        final Instant oldest = now.minus(PromptQuarantine.CRASH_LIFETIME);
        final Suspicion suspicion = section.suspicions().getOrDefault(part, new Suspicion(0, List.of()));
        final Instant served = section.lastResponse(part).here();
        return new PromptEvidence(
                suspicion.position(),
                suspicion.crashes().stream()
                        .filter(crash -> crash.at().isAfter(oldest))
                        .map(crash -> describe(crash, now))
                        .toList(),
                served.isAfter(oldest) ? Optional.of(Duration.between(served, now)) : Optional.empty());
    }

    private static PromptEvidence.CrashReport describe(final Crash crash, final Instant now) {
        return new PromptEvidence.CrashReport(
                crash.start(), Duration.between(crash.at(), now), crash.begun(), crash.calls());
    }
}
