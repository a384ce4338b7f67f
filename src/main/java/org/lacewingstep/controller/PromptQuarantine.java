package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallParameters;
import org.lacewingstep.blackboard.PromptSection;
import org.lacewingstep.blackboard.PromptSection.Crash;
import org.lacewingstep.blackboard.PromptSection.Suspicion;
import org.lacewingstep.domain.PromptPart;
import org.lacewingstep.domain.UpstreamStart;
import org.pcollections.PMap;

/** Decides which parts of prompts crash upstreams, so that requests with these parts are refused. */
final class PromptQuarantine {
    /** Time for which a crash counts; after it an upstream may be repaired, and requests with the part are tried. */
    static final Duration CRASH_LIFETIME = Duration.ofMinutes(10);

    /** Crash incidents after which requests with a part are refused. */
    static final int INCIDENT_THRESHOLD = 3;

    /** Incidents of a quarantined part that no likelier part of the same prompts accounts for. */
    private static final int UNEXPLAINED_INCIDENT_THRESHOLD = 2;

    /** Crashes within this time have a common cause, such as a rack that fails, and are one incident. */
    private static final Duration INCIDENT_WINDOW = Duration.ofMillis(150);

    /** Incident window of a site with relays, on whose way a report of a crash is delayed by up to 500 ms. */
    private static final Duration RELAYED_INCIDENT_WINDOW = Duration.ofMillis(750);

    /** Time for which a served part is not quarantined, whatever has crashed since. */
    private static final Duration SERVED_PROTECTION = Duration.ofSeconds(3);

    private PromptQuarantine() {}

    /**
     * A quarantined part of a prompt.
     *
     * @param part the part, not null
     * @param incidents number of crash incidents
     * @param age time since the first crash, not null
     */
    record QuarantinedPart(PromptPart part, int incidents, Duration age) {
        /**
         * Describes why requests with the part are refused.
         *
         * @return the text, never null
         */
        String reason() {
            return "part " + part + " of the prompt is quarantined after " + incidents
                    + " crashes of upstreams, the first " + age.toSeconds() + " s ago";
        }
    }

    /**
     * Finds a quarantined part in the prompt of a call.
     *
     * @param board the blackboard, not null
     * @param parameters the parameters of the call, not null
     * @param now the present time, not null
     * @return the first quarantined part, empty if the call may be sent
     */
    static Optional<QuarantinedPart> find(final Blackboard board, final CallParameters parameters, final Instant now) {
        final PMap<PromptPart, Suspicion> suspicions = board.serving().prompts().suspicions();
        return parameters.promptParts().stream()
                .filter(part -> suspicions.containsKey(part)
                        && suspicions.get(part).quarantinedAt().isPresent())
                .findFirst()
                .map(part -> describe(board, part, suspicions.get(part), now));
    }

    /**
     * Describes a suspected part.
     *
     * @param board the blackboard, not null
     * @param part the part, not null
     * @param suspicion the crashes on requests with the part, not null
     * @param now the present time, not null
     * @return the description, never null
     */
    static QuarantinedPart describe(
            final Blackboard board, final PromptPart part, final Suspicion suspicion, final Instant now) {
        final List<Crash> crashes = countedCrashes(suspicion, now);
        final Duration age = crashes.isEmpty()
                ? CRASH_LIFETIME
                : Duration.between(crashes.getFirst().at(), now);
        return new QuarantinedPart(part, countIncidents(crashes, incidentWindow(board)), age);
    }

    /**
     * Quarantines the parts that reach the number of incidents and releases the others.
     *
     * @param board the blackboard, not null
     * @param section the section to update, not null
     * @param now the present time, not null
     * @return the updated section, never null
     */
    static PromptSection update(final Blackboard board, final PromptSection section, final Instant now) {
        final Set<PromptPart> quarantined = findCauses(section, incidentWindow(board), now);
        PMap<PromptPart, Suspicion> next = section.suspicions();
        for (final Map.Entry<PromptPart, Suspicion> entry : section.suspicions().entrySet()) {
            final Suspicion known = entry.getValue();
            final boolean refused = quarantined.contains(entry.getKey());
            if (refused != known.quarantinedAt().isPresent()) {
                final Optional<Instant> since = refused ? Optional.of(now) : Optional.empty();
                next = next.plus(entry.getKey(), new Suspicion(known.position(), known.crashes(), since));
            }
        }
        return section.withSuspicions(next);
    }

    /**
     * Finds the parts to quarantine.
     *
     * <p>The sound parts of a prompt crash together with the harmful one. A part is therefore not blamed for the
     * crashes on a quarantined part, nor for those on one likelier part that may still become quarantined.
     */
    private static Set<PromptPart> findCauses(final PromptSection section, final Duration window, final Instant now) {
        final Set<PromptPart> causes = new HashSet<>();
        final Set<UpstreamStart> explained = new HashSet<>();
        if (section.suspicions().values().stream().noneMatch(known -> isCandidate(known, window, now))) {
            return causes;
        }
        final List<List<Crash>> likelier = new ArrayList<>();
        for (final Map.Entry<PromptPart, Suspicion> entry : section.suspicions().entrySet().stream()
                .sorted(likeliestFirst(section))
                .toList()) {
            final List<Crash> crashes = countedCrashes(entry.getValue(), now);
            if (isCandidate(entry.getValue(), window, now)
                    && !isProtected(section, entry.getKey(), now)
                    && countUnexplained(without(crashes, explained), likelier, window)
                            >= UNEXPLAINED_INCIDENT_THRESHOLD) {
                causes.add(entry.getKey());
                explained.addAll(starts(crashes));
            } else if (crashes.size() >= UNEXPLAINED_INCIDENT_THRESHOLD) {
                likelier.add(crashes);
            }
        }
        return causes;
    }

    private static boolean isCandidate(final Suspicion suspicion, final Duration window, final Instant now) {
        return suspicion.crashes().size() >= INCIDENT_THRESHOLD
                && countIncidents(countedCrashes(suspicion, now), window) >= INCIDENT_THRESHOLD;
    }

    /** Counts the incidents that remain if the one likelier part that explains most of them is the cause. */
    private static int countUnexplained(
            final List<Crash> crashes, final List<List<Crash>> likelier, final Duration window) {
        return likelier.stream()
                .mapToInt(other -> countIncidents(without(crashes, starts(other)), window))
                .reduce(countIncidents(crashes, window), Math::min);
    }

    private static Set<UpstreamStart> starts(final List<Crash> crashes) {
        return crashes.stream().map(Crash::start).collect(Collectors.toSet());
    }

    private static List<Crash> without(final List<Crash> crashes, final Set<UpstreamStart> excluded) {
        return crashes.stream()
                .filter(crash -> !excluded.contains(crash.start()))
                .toList();
    }

    /**
     * Orders parts by how likely they cause the crashes: first the ones that have not been served for longest, then the
     * ones at later positions, which fewer requests share.
     */
    private static Comparator<Map.Entry<PromptPart, Suspicion>> likeliestFirst(final PromptSection section) {
        final Comparator<Map.Entry<PromptPart, Suspicion>> latestFirst =
                Comparator.<Map.Entry<PromptPart, Suspicion>>comparingInt(
                                entry -> entry.getValue().position())
                        .thenComparingInt(entry -> entry.getValue().crashes().size())
                        .reversed();
        return Comparator.<Map.Entry<PromptPart, Suspicion>, Instant>comparing(
                        entry -> section.lastResponse(entry.getKey()).anywhere())
                .thenComparing(latestFirst)
                .thenComparing(Map.Entry::getKey);
    }

    private static boolean isProtected(final PromptSection section, final PromptPart part, final Instant now) {
        return section.lastResponse(part).anywhere().plus(SERVED_PROTECTION).isAfter(now);
    }

    private static List<Crash> countedCrashes(final Suspicion suspicion, final Instant now) {
        final Instant oldest = now.minus(CRASH_LIFETIME);
        return suspicion.crashes().stream()
                .filter(crash -> crash.at().isAfter(oldest))
                .toList();
    }

    private static int countIncidents(final List<Crash> crashes, final Duration window) {
        int incidents = 0;
        Instant windowEnd = Instant.MIN;
        for (final Crash crash : crashes) {
            if (crash.at().isAfter(windowEnd)) {
                incidents++;
                windowEnd = crash.at().plus(window);
            }
        }
        return incidents;
    }

    private static Duration incidentWindow(final Blackboard board) {
        return board.serving().site().isRelayed() ? RELAYED_INCIDENT_WINDOW : INCIDENT_WINDOW;
    }
}
