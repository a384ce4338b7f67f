package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallParameters;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.CallSection.CallPhase;
import org.lacewingstep.blackboard.Decision;
import org.lacewingstep.blackboard.Decision.Input;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.PromptEvidence;
import org.lacewingstep.blackboard.PromptSection;
import org.lacewingstep.blackboard.PromptSection.Crash;
import org.lacewingstep.blackboard.PromptSection.LastResponse;
import org.lacewingstep.blackboard.PromptSection.Suspicion;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.PromptPart;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamStart;
import org.pcollections.PMap;

/** Records on which parts of prompts upstreams crash, and quarantines the parts that cause the crashes. */
public final class PromptController implements Controller<PromptSection> {
    /** Time for which a crash is kept after it no longer counts, so that a late report does not renew it. */
    private static final Duration CRASH_RETENTION = Duration.ofMinutes(2);

    /** Time over which a response must have sent events to show that the upstream did not crash as it began it. */
    static final Duration SOUND_PROGRESS = Duration.ofMillis(250);

    /** Most suspected parts; those with the fewest crashes are dropped. */
    private static final int MAX_SUSPICIONS = 512;

    /** Most parts of one prompt that a crash makes suspects, so that a long prompt does not displace all others. */
    private static final int MAX_SUSPECTS_OF_A_CRASH = MAX_SUSPICIONS / 2;

    /** Most crashes that are kept of one part. */
    private static final int MAX_CRASHES = 32;

    /** Most parts whose last response is kept. */
    private static final int MAX_RESPONSES = 4096;

    private static final Comparator<Map.Entry<PromptPart, Suspicion>> FEWEST_CRASHES_FIRST =
            Comparator.<Map.Entry<PromptPart, Suspicion>>comparingInt(
                            entry -> entry.getValue().crashes().size())
                    .thenComparing(entry -> entry.getValue().crashes().getLast().at());

    @Override
    public Class<PromptSection> section() {
        return PromptSection.class;
    }

    @Override
    public Outcome<PromptSection> step(final Blackboard board, final Event event, final Instant now) {
        final PromptSection section = board.serving().prompts();
        return switch (event) {
            case Event.CallAttemptEnded(RequestIdentifier request, int attempt, CallResult result) ->
                Optional.ofNullable(board.serving().calls().calls().get(request))
                        .flatMap(call -> findAttempt(call, attempt)
                                .map(sent -> handleAttemptEnd(board, call, sent.upstream(), result, now)))
                        .orElseGet(() -> Outcome.of(section));
            case Event.PeerLoadReported(Incarnation sender, PeerMessage.SiteLoad load) ->
                load.prompts().isEmpty() ? Outcome.of(section) : handleReport(board, load.prompts(), now);
            case Event.CallArrived(CallParameters parameters) ->
                parameters.promptParts().stream().anyMatch(section.suspicions()::containsKey)
                        ? handleArrival(board, parameters, now)
                        : Outcome.of(section);
            case Event.TimerFired(TimerKey.LoadBroadcast()) -> handleBroadcast(board, now);
            default -> Outcome.of(section);
        };
    }

    private static Outcome<PromptSection> handleArrival(
            final Blackboard board, final CallParameters parameters, final Instant now) {
        final Outcome<PromptSection> decided = decide(board, board.serving().prompts(), new OutcomeBuilder(), now);
        return new Outcome<>(
                PromptTrials.assign(board, decided.section(), parameters, now), decided.effects(), decided.events());
    }

    /** Finds the attempt with a number if the call is waiting for its end. */
    private static Optional<CallPhase.Sent> findAttempt(final Call call, final int attempt) {
        final Optional<CallPhase.Sent> current =
                switch (call.phase()) {
                    case CallPhase.Sent sent -> Optional.of(sent);
                    case CallPhase.Replacing(CallPhase.Sent stalled, var replacement) -> Optional.of(stalled);
                    case CallPhase.Queued queued -> Optional.empty();
                    case CallPhase.Reserving reserving -> Optional.empty();
                };
        return current.filter(sent -> sent.attempt() == attempt);
    }

    private static Outcome<PromptSection> handleAttemptEnd(
            final Blackboard board,
            final Call call,
            final UpstreamName upstream,
            final CallResult result,
            final Instant now) {
        final PromptSection section = board.serving().prompts();
        final List<PromptPart> parts = call.parameters().promptParts();
        if (parts.isEmpty()) {
            return Outcome.of(section);
        }
        return switch (result) {
            case CallResult.Served() -> handleResponse(board, parts, now);
            // A harmful prompt crashes the upstream as it begins its response, at times after the first events.
            case CallResult.Broken broken when isSound(broken) -> handleResponse(board, parts, now);
            case CallResult.Broken broken
            when !broken.silent() ->
                handleCrash(board, call, upstream, broken.progress().isPresent(), now);
            case CallResult.Broken broken -> Outcome.of(section);
            case CallResult.FailedByUpstream failed -> Outcome.of(section);
            case CallResult.NotRun notRun -> Outcome.of(section);
        };
    }

    private static boolean isSound(final CallResult.Broken broken) {
        return broken.progress().orElse(Duration.ZERO).compareTo(SOUND_PROGRESS) >= 0;
    }

    private static Outcome<PromptSection> handleResponse(
            final Blackboard board, final List<PromptPart> parts, final Instant now) {
        final PromptSection section = board.serving().prompts();
        final OutcomeBuilder builder = new OutcomeBuilder();
        PromptSection next = section;
        for (final PromptPart part : parts) {
            if (section.suspicions().containsKey(part)) {
                next = withReportDue(next, part, builder);
            }
            next = withLastResponse(next, part, new LastResponse(now, now));
        }
        return next.suspicions() == section.suspicions() ? Outcome.of(next) : decide(board, next, builder, now);
    }

    private static Outcome<PromptSection> handleCrash(
            final Blackboard board,
            final Call call,
            final UpstreamName upstream,
            final boolean begun,
            final Instant now) {
        final List<PromptPart> parts = call.parameters().promptParts();
        final long startedAtMillis = board.serving().loads().of(upstream).startedAtMillis();
        final Crash crash = new Crash(
                new UpstreamStart(upstream, startedAtMillis),
                now,
                begun,
                Set.of(call.parameters().request()));
        final OutcomeBuilder builder = new OutcomeBuilder();
        PromptSection next = board.serving().prompts();
        for (final int position : suspectPositions(next, parts)) {
            final PromptPart part = parts.get(position);
            next = withReportDue(addCrash(next, part, position, crash), part, builder);
        }
        return decide(board, next, builder, now);
    }

    /** Selects the parts of a prompt to suspect: those not served for longest, then the ones at later positions. */
    private static List<Integer> suspectPositions(final PromptSection section, final List<PromptPart> parts) {
        return IntStream.range(0, parts.size())
                .boxed()
                .sorted(Comparator.<Integer, Instant>comparing(position ->
                                section.lastResponse(parts.get(position)).anywhere())
                        .thenComparing(Comparator.reverseOrder()))
                .limit(MAX_SUSPECTS_OF_A_CRASH)
                .toList();
    }

    /** Marks a part for the next report and requests that report. */
    private static PromptSection withReportDue(
            final PromptSection section, final PromptPart part, final OutcomeBuilder builder) {
        if (section.changed().isEmpty()) {
            builder.add(new Event.LoadReportRequested());
        }
        return section.withChanged(part);
    }

    private static Outcome<PromptSection> handleReport(
            final Blackboard board, final Map<PromptPart, PromptEvidence> reported, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        PromptSection next = board.serving().prompts();
        for (final Map.Entry<PromptPart, PromptEvidence> entry : reported.entrySet()) {
            next = merge(next, entry.getKey(), entry.getValue(), builder, now);
        }
        return decide(board, next, builder, now);
    }

    /** Adds the evidence of another instance, and reports the part's last response here if the crashes are news. */
    private static PromptSection merge(
            final PromptSection section,
            final PromptPart part,
            final PromptEvidence evidence,
            final OutcomeBuilder builder,
            final Instant now) {
        PromptSection next = section;
        if (evidence.servedAge().isPresent()) {
            final LastResponse known = section.lastResponse(part);
            final Instant served = timeOf(evidence.servedAge().get(), now);
            next = withLastResponse(
                    next,
                    part,
                    new LastResponse(known.here(), served.isAfter(known.anywhere()) ? served : known.anywhere()));
        }
        boolean news = false;
        for (final PromptEvidence.CrashReport report : evidence.crashes()) {
            final Crash crash = new Crash(report.start(), timeOf(report.age(), now), report.begun(), report.calls());
            if (crash.at().isAfter(now.minus(PromptQuarantine.CRASH_LIFETIME))) {
                news |= !isKnown(next, part, crash.start());
                next = addCrash(next, part, evidence.position(), crash);
            }
        }
        final boolean servedHere = section.lastResponse(part).here().isAfter(Instant.EPOCH);
        return news && servedHere ? withReportDue(next, part, builder) : next;
    }

    private static Instant timeOf(final Duration age, final Instant now) {
        return age.isNegative() ? now : now.minus(age);
    }

    private static boolean isKnown(final PromptSection section, final PromptPart part, final UpstreamStart start) {
        final Suspicion known = section.suspicions().get(part);
        return known != null
                && known.crashes().stream().anyMatch(crash -> crash.start().equals(start));
    }

    /** Adds a crash unless the part was served since; of two times of one crash the earlier one is kept. */
    private static PromptSection addCrash(
            final PromptSection section, final PromptPart part, final int position, final Crash crash) {
        if (!crash.at().isAfter(section.lastResponse(part).anywhere())) {
            return section;
        }
        final Suspicion known = section.suspicions().getOrDefault(part, new Suspicion(position, List.of()));
        final Map<UpstreamStart, Crash> byStart = new HashMap<>();
        known.crashes().forEach(each -> byStart.put(each.start(), each));
        byStart.merge(crash.start(), crash, Crash::merge);
        final List<Crash> crashes = new ArrayList<>(byStart.values());
        crashes.sort(Comparator.comparing(Crash::at));
        if (crashes.size() > MAX_CRASHES) {
            crashes.remove(findClosestToPrevious(crashes));
        }
        final PMap<PromptPart, Suspicion> next =
                section.suspicions().plus(part, known.withCrashes(Math.max(known.position(), position), crashes));
        return section.withSuspicions(next.size() > MAX_SUSPICIONS ? withoutWeakest(next) : next);
    }

    /** Finds the crash that is least likely an incident of its own. */
    private static int findClosestToPrevious(final List<Crash> crashes) {
        int closest = 1;
        Duration least = Duration.ofSeconds(Long.MAX_VALUE);
        for (int i = 1; i < crashes.size(); i++) {
            final Duration gap =
                    Duration.between(crashes.get(i - 1).at(), crashes.get(i).at());
            if (gap.compareTo(least) < 0) {
                closest = i;
                least = gap;
            }
        }
        return closest;
    }

    private static PMap<PromptPart, Suspicion> withoutWeakest(final PMap<PromptPart, Suspicion> suspicions) {
        return suspicions.entrySet().stream()
                .min(FEWEST_CRASHES_FIRST)
                .map(entry -> suspicions.minus(entry.getKey()))
                .orElse(suspicions);
    }

    /** Records a response and drops the crashes before it. */
    private static PromptSection withLastResponse(
            final PromptSection section, final PromptPart part, final LastResponse last) {
        final PromptSection next =
                section.withResponses(limit(section.responses().plus(part, last)));
        final Suspicion known = section.suspicions().get(part);
        return known == null ? next : next.withSuspicions(retain(next.suspicions(), part, known, last.anywhere()));
    }

    /** Drops the older half of the responses if there are too many. */
    private static PMap<PromptPart, LastResponse> limit(final PMap<PromptPart, LastResponse> responses) {
        if (responses.size() <= MAX_RESPONSES) {
            return responses;
        }
        return responses.minusAll(responses.entrySet().stream()
                .sorted(Comparator.comparing(entry -> entry.getValue().anywhere()))
                .limit(MAX_RESPONSES / 2)
                .map(Map.Entry::getKey)
                .toList());
    }

    private static PMap<PromptPart, Suspicion> retain(
            final PMap<PromptPart, Suspicion> suspicions,
            final PromptPart part,
            final Suspicion known,
            final Instant after) {
        final List<Crash> kept = known.crashes().stream()
                .filter(crash -> crash.at().isAfter(after))
                .toList();
        return kept.isEmpty()
                ? suspicions.minus(part)
                : suspicions.plus(part, known.withCrashes(known.position(), kept));
    }

    private static Outcome<PromptSection> handleBroadcast(final Blackboard board, final Instant now) {
        final PromptSection section = board.serving().prompts();
        final Instant oldest = now.minus(PromptQuarantine.CRASH_LIFETIME).minus(CRASH_RETENTION);
        PMap<PromptPart, Suspicion> kept = section.suspicions();
        for (final Map.Entry<PromptPart, Suspicion> entry : section.suspicions().entrySet()) {
            if (!entry.getValue().crashes().getFirst().at().isAfter(oldest)) {
                kept = retain(kept, entry.getKey(), entry.getValue(), oldest);
            }
        }
        final Instant repeatDue =
                section.repeatDue().isAfter(now) ? section.repeatDue() : now.plus(PromptReports.REPEAT_INTERVAL);
        return decide(board, section.withSuspicions(kept).withReported(repeatDue), new OutcomeBuilder(), now);
    }

    private static Outcome<PromptSection> decide(
            final Blackboard board, final PromptSection section, final OutcomeBuilder builder, final Instant now) {
        final PromptSection decided = PromptQuarantine.update(board, section, now);
        final PMap<PromptPart, Suspicion> before = board.serving().prompts().suspicions();
        final PMap<PromptPart, Suspicion> after = decided.suspicions();
        after.forEach((part, suspicion) -> {
            if (suspicion.quarantinedAt().isPresent() && !isQuarantined(before, part)) {
                log(board, part, suspicion, "quarantined", builder, now);
            } else if (suspicion.trial().isPresent() && !isOnTrial(before, part)) {
                log(board, part, suspicion, "on trial", builder, now);
            }
        });
        before.forEach((part, suspicion) -> {
            if (isLimited(before, part) && !isLimited(after, part)) {
                log(board, part, suspicion, "released", builder, now);
            }
        });
        return builder.outcome(decided);
    }

    private static boolean isLimited(final PMap<PromptPart, Suspicion> suspicions, final PromptPart part) {
        return isQuarantined(suspicions, part) || isOnTrial(suspicions, part);
    }

    private static boolean isOnTrial(final PMap<PromptPart, Suspicion> suspicions, final PromptPart part) {
        return suspicions.containsKey(part) && suspicions.get(part).trial().isPresent();
    }

    private static boolean isQuarantined(final PMap<PromptPart, Suspicion> suspicions, final PromptPart part) {
        return suspicions.containsKey(part)
                && suspicions.get(part).quarantinedAt().isPresent();
    }

    private static void log(
            final Blackboard board,
            final PromptPart part,
            final Suspicion suspicion,
            final String outcome,
            final OutcomeBuilder builder,
            final Instant now) {
        final PromptQuarantine.QuarantinedPart described = PromptQuarantine.describe(board, part, suspicion, now);
        builder.add(new Effect.Log(Decision.of(
                "prompt",
                outcome,
                Input.of("part", part),
                Input.of("incidents", described.incidents()),
                Input.of("age_ms", described.age().toMillis()),
                Input.of("position", suspicion.position()),
                Input.of(
                        "upstreams",
                        suspicion.crashes().stream()
                                .map(crash -> crash.start().upstream())
                                .toList()))));
    }
}
