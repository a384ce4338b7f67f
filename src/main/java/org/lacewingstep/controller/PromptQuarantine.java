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
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallParameters;
import org.lacewingstep.blackboard.PromptSection;
import org.lacewingstep.blackboard.PromptSection.Crash;
import org.lacewingstep.blackboard.PromptSection.Suspicion;
import org.lacewingstep.blackboard.PromptSection.Trial;
import org.lacewingstep.domain.PromptPart;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamStart;
import org.pcollections.PMap;

/** Decides which parts of prompts crash upstreams, so that requests with these parts are refused. */
final class PromptQuarantine {
    /** Time for which a crash counts; after it an upstream may be repaired, and requests with the part are tried. */
    static final Duration CRASH_LIFETIME = Duration.ofMinutes(10);

    /** Crash incidents, before any event of a response, after which requests with a part are refused. */
    static final int INCIDENT_THRESHOLD = 3;

    /** Attempts that broke off with crashes, at whatever moments, after which a part is put on trial. */
    private static final int TRIAL_THRESHOLD = 5;

    /** Attempts that broke off with crashes and that no likelier part on trial accounts for. */
    private static final int UNEXPLAINED_ATTEMPT_THRESHOLD = 3;

    /** Crashed upstreams below which a part is not put on trial, as any upstream may crash by itself. */
    private static final int TRIAL_UPSTREAM_THRESHOLD = 2;

    /** Crashes of trial requests after which requests with a part are refused. */
    private static final int TRIAL_CRASH_THRESHOLD = 2;

    /** Incidents of a quarantined part that no likelier part of the same prompts accounts for. */
    private static final int UNEXPLAINED_INCIDENT_THRESHOLD = 2;

    /** Crashes within this time have a common cause, such as a rack that fails, and are one incident. */
    private static final Duration INCIDENT_WINDOW = Duration.ofMillis(150);

    /** Incident window of a site with relays, on whose way a report of a crash is delayed by up to 500 ms. */
    private static final Duration RELAYED_INCIDENT_WINDOW = Duration.ofMillis(750);

    /** Time after the first crash in which the other instances report that they have served a part. */
    private static final Duration CONTRADICTION_PERIOD = Duration.ofMillis(400);

    /** The same time on a site with relays, on whose way each of the two reports takes up to one second. */
    private static final Duration RELAYED_CONTRADICTION_PERIOD = Duration.ofMillis(2500);

    /** Time for which a served part is not quarantined, whatever has crashed since. */
    private static final Duration SERVED_PROTECTION = Duration.ofSeconds(3);

    private PromptQuarantine() {}

    /**
     * A quarantined part of a prompt.
     *
     * @param part the part, not null
     * @param onTrial whether requests with the part are sent one at a time, in place of none
     * @param incidents number of crash incidents
     * @param age time since the first crash, not null
     */
    record QuarantinedPart(PromptPart part, boolean onTrial, int incidents, Duration age) {
        /**
         * Describes why requests with the part are refused.
         *
         * @return the text, never null
         */
        String reason() {
            return "part " + part + " of the prompt is " + (onTrial ? "on trial" : "quarantined") + " after "
                    + incidents + " crashes of upstreams, the first " + age.toSeconds() + " s ago";
        }
    }

    /**
     * Finds a quarantined part, or one on trial, in the prompt of a call.
     *
     * @param board the blackboard, not null
     * @param parameters the parameters of the call, not null
     * @param now the present time, not null
     * @return the first such part, empty if the call may be sent
     */
    static Optional<QuarantinedPart> find(final Blackboard board, final CallParameters parameters, final Instant now) {
        return find(board, parameters, suspicion -> isRefused(suspicion, parameters.request()), now);
    }

    /**
     * Finds a part in the prompt of a call because of which the call is not sent again after a crash.
     *
     * @param board the blackboard, not null
     * @param parameters the parameters of the call, not null
     * @param now the present time, not null
     * @return the first such part, empty if the call may be sent again
     */
    static Optional<QuarantinedPart> findForRetry(
            final Blackboard board, final CallParameters parameters, final Instant now) {
        return find(
                board,
                parameters,
                suspicion -> suspicion.quarantinedAt().isPresent()
                        || suspicion.trial().isPresent(),
                now);
    }

    private static Optional<QuarantinedPart> find(
            final Blackboard board,
            final CallParameters parameters,
            final Predicate<Suspicion> condition,
            final Instant now) {
        final PMap<PromptPart, Suspicion> suspicions = board.serving().prompts().suspicions();
        return parameters.promptParts().stream()
                .filter(part -> suspicions.containsKey(part) && condition.test(suspicions.get(part)))
                .findFirst()
                .map(part -> describe(board, part, suspicions.get(part), now));
    }

    private static boolean isRefused(final Suspicion suspicion, final RequestIdentifier request) {
        return suspicion.quarantinedAt().isPresent()
                || suspicion
                        .trial()
                        .filter(trial -> !trial.request().equals(Optional.of(request)))
                        .isPresent();
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
        return new QuarantinedPart(
                part, suspicion.quarantinedAt().isEmpty(), countIncidents(crashes, incidentWindow(board)), age);
    }

    /**
     * Quarantines the parts that reach the number of incidents, puts those on trial that only come close to it, and
     * releases the others.
     *
     * @param board the blackboard, not null
     * @param section the section to update, not null
     * @param now the present time, not null
     * @return the updated section, never null
     */
    static PromptSection update(final Blackboard board, final PromptSection section, final Instant now) {
        if (section.suspicions().values().stream().noneMatch(PromptQuarantine::mayChange)) {
            return section;
        }
        final List<Map.Entry<PromptPart, Suspicion>> ordered = likeliestFirst(section);
        final Set<PromptPart> quarantined = findCauses(board, section, ordered, now);
        final Set<PromptPart> onTrial = findTrials(board, section, ordered, quarantined, now);
        PMap<PromptPart, Suspicion> next = section.suspicions();
        for (final Map.Entry<PromptPart, Suspicion> entry : section.suspicions().entrySet()) {
            final Suspicion known = entry.getValue();
            final boolean refused = quarantined.contains(entry.getKey());
            final boolean tried = onTrial.contains(entry.getKey());
            if (refused != known.quarantinedAt().isPresent()
                    || tried != known.trial().isPresent()) {
                final Optional<Instant> since =
                        refused ? known.quarantinedAt().or(() -> Optional.of(now)) : Optional.empty();
                final Optional<Trial> trial = tried
                        ? known.trial().or(() -> Optional.of(new Trial(trialStart(known, now), Optional.empty())))
                        : Optional.empty();
                next = next.plus(entry.getKey(), new Suspicion(known.position(), known.crashes(), since, trial));
            }
        }
        return section.withSuspicions(next);
    }

    /** Returns whether a part may become limited or is limited now. */
    private static boolean mayChange(final Suspicion suspicion) {
        return hasCrashes(suspicion, TRIAL_UPSTREAM_THRESHOLD)
                || suspicion.quarantinedAt().isPresent()
                || suspicion.trial().isPresent();
    }

    /** Returns the time of the crash that began the trial, which is about the same at all instances. */
    private static Instant trialStart(final Suspicion suspicion, final Instant now) {
        final List<Crash> crashes = countedCrashes(suspicion, now);
        int count = 1;
        while (countAttempts(crashes.subList(0, count)) < TRIAL_THRESHOLD) {
            count++;
        }
        return crashes.get(Math.max(count, TRIAL_UPSTREAM_THRESHOLD) - 1).at();
    }

    /** Counts the attempts that broke off; a report of an earlier build names none of them. */
    private static int countAttempts(final List<Crash> crashes) {
        return crashes.stream()
                .mapToInt(crash -> Math.max(1, crash.calls().size()))
                .sum();
    }

    /**
     * Finds the parts to put on trial: those on which many attempts broke off with crashes, though perhaps at one
     * moment or after the first events of the responses, as also happens when upstreams crash for another reason.
     */
    private static Set<PromptPart> findTrials(
            final Blackboard board,
            final PromptSection section,
            final List<Map.Entry<PromptPart, Suspicion>> ordered,
            final Set<PromptPart> quarantined,
            final Instant now) {
        final Set<PromptPart> tried = new HashSet<>();
        if (section.suspicions().values().stream().noneMatch(known -> hasCrashes(known, TRIAL_UPSTREAM_THRESHOLD))) {
            return tried;
        }
        final Instant suspectedBefore = now.minus(contradictionPeriod(board));
        final Set<UpstreamStart> explained = new HashSet<>();
        quarantined.forEach(
                part -> explained.addAll(starts(section.suspicions().get(part).crashes())));
        for (final Map.Entry<PromptPart, Suspicion> entry : ordered) {
            final List<Crash> crashes = countedCrashes(entry.getValue(), now);
            final boolean unexplained = countAttempts(without(crashes, explained)) >= UNEXPLAINED_ATTEMPT_THRESHOLD;
            if (crashes.size() >= TRIAL_UPSTREAM_THRESHOLD
                    && countAttempts(crashes) >= TRIAL_THRESHOLD
                    && !crashes.getFirst().at().isAfter(suspectedBefore)
                    && !isProtected(section, entry.getKey(), now)
                    && (unexplained || quarantined.contains(entry.getKey()))) {
                tried.add(entry.getKey());
                explained.addAll(starts(crashes));
            }
        }
        return tried;
    }

    /**
     * Finds the parts to quarantine.
     *
     * <p>The sound parts of a prompt crash together with the harmful one. A part is therefore not blamed for the
     * crashes on a quarantined part, nor for those on one likelier part that may still become quarantined.
     */
    private static Set<PromptPart> findCauses(
            final Blackboard board,
            final PromptSection section,
            final List<Map.Entry<PromptPart, Suspicion>> ordered,
            final Instant now) {
        final Duration window = incidentWindow(board);
        final Set<PromptPart> causes = new HashSet<>();
        final Set<UpstreamStart> explained = new HashSet<>();
        if (section.suspicions().values().stream().noneMatch(known -> hasCrashes(known, INCIDENT_THRESHOLD))) {
            return causes;
        }
        final List<List<Crash>> likelier = new ArrayList<>();
        for (final Map.Entry<PromptPart, Suspicion> entry : ordered) {
            final List<Crash> crashes = quarantineEvidence(entry.getValue(), now);
            final boolean crashedOnly = countIncidents(crashes, window) >= INCIDENT_THRESHOLD
                    && countUnexplained(without(crashes, explained), likelier, window)
                            >= UNEXPLAINED_INCIDENT_THRESHOLD;
            if (!isProtected(section, entry.getKey(), now)
                    && (crashedOnly || PromptTrials.countCrashes(board, entry.getValue()) >= TRIAL_CRASH_THRESHOLD)) {
                causes.add(entry.getKey());
                explained.addAll(starts(crashes));
            } else if (crashes.size() >= UNEXPLAINED_INCIDENT_THRESHOLD) {
                likelier.add(crashes);
            }
        }
        return causes;
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
    private static List<Map.Entry<PromptPart, Suspicion>> likeliestFirst(final PromptSection section) {
        final Comparator<Map.Entry<PromptPart, Suspicion>> latestFirst =
                Comparator.<Map.Entry<PromptPart, Suspicion>>comparingInt(
                                entry -> entry.getValue().position())
                        .thenComparingInt(entry -> entry.getValue().crashes().size())
                        .reversed();
        return section.suspicions().entrySet().stream()
                .sorted(Comparator.<Map.Entry<PromptPart, Suspicion>, Instant>comparing(
                                entry -> section.lastResponse(entry.getKey()).anywhere())
                        .thenComparing(latestFirst)
                        .thenComparing(Map.Entry::getKey))
                .toList();
    }

    private static boolean isProtected(final PromptSection section, final PromptPart part, final Instant now) {
        return section.lastResponse(part).anywhere().plus(SERVED_PROTECTION).isAfter(now);
    }

    /**
     * Selects the crashes since an upstream last sent events, or none if that was recently. Events do not end a
     * quarantine.
     */
    private static List<Crash> quarantineEvidence(final Suspicion suspicion, final Instant now) {
        final List<Crash> crashes = countedCrashes(suspicion, now);
        if (suspicion.quarantinedAt().isPresent()) {
            return crashes;
        }
        final Instant lastBegun = crashes.stream()
                .filter(Crash::begun)
                .map(Crash::at)
                .max(Comparator.naturalOrder())
                .orElse(Instant.EPOCH);
        return lastBegun.plus(SERVED_PROTECTION).isAfter(now)
                ? List.of()
                : crashes.stream()
                        .filter(crash -> crash.at().isAfter(lastBegun))
                        .toList();
    }

    private static boolean hasCrashes(final Suspicion suspicion, final int count) {
        return suspicion.crashes().size() >= count;
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

    private static Duration contradictionPeriod(final Blackboard board) {
        return board.serving().site().isRelayed() ? RELAYED_CONTRADICTION_PERIOD : CONTRADICTION_PERIOD;
    }

    private static Duration incidentWindow(final Blackboard board) {
        return board.serving().site().isRelayed() ? RELAYED_INCIDENT_WINDOW : INCIDENT_WINDOW;
    }
}
