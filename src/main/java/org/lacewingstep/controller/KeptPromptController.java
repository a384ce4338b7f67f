package org.lacewingstep.controller;

import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.CallSection.CallPhase;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.KeptPromptSection;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.WorkMeasurement;
import org.lacewingstep.domain.KeptPrompts;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamStart;
import org.lacewingstep.domain.WorkKind;
import org.pcollections.PMap;

/** Records which parts of prompts engines have read, and drops what an engine turned out not to keep. */
public final class KeptPromptController implements Controller<KeptPromptSection> {
    /** Most starts of engines that are tracked; that with the fewest tokens read is dropped. */
    static final int MAX_ENGINES = 512;

    /** Smallest kept fraction of a prompt that the measured time shows. */
    private static final double MIN_SHOWN_FRACTION = 0.25;

    @Override
    public Class<KeptPromptSection> section() {
        return KeptPromptSection.class;
    }

    @Override
    public Outcome<KeptPromptSection> step(final Blackboard board, final Event event, final Instant now) {
        final KeptPromptSection section = board.serving().learned().keptPrompts();
        return switch (event) {
            case Event.PrefillEnded(RequestIdentifier request, int attempt, CallResult.Served served) ->
                Outcome.of(KeptPromptEstimate.findCall(board, request)
                        .flatMap(call -> prefillUpstream(call, attempt)
                                .flatMap(name -> UpstreamChoice.findRegistered(board, name))
                                .map(upstream -> withPrompt(board, section, call, upstream)))
                        .orElse(section));
            case Event.CallAttemptEnded(RequestIdentifier request, int attempt, CallResult.Served served) ->
                Outcome.of(KeptPromptEstimate.findCall(board, request)
                        .flatMap(call -> readingUpstream(call, attempt)
                                .flatMap(name -> UpstreamChoice.findRegistered(board, name))
                                .filter(upstream -> upstream.role() == UpstreamRole.DECODE)
                                .map(upstream -> withPrompt(board, section, call, upstream)))
                        .orElse(section));
            case Event.WorkMeasured(WorkMeasurement work) ->
                Outcome.of(KeptPromptEstimate.findCall(board, work.request())
                        .filter(call -> work.kind() == WorkKind.PROMPT_TOKEN)
                        .flatMap(call -> UpstreamChoice.findRegistered(
                                        board, work.start().upstream())
                                .map(upstream -> compared(board, section, call, upstream, work, now)))
                        .orElse(section));
            default -> Outcome.of(section);
        };
    }

    private static Optional<UpstreamName> prefillUpstream(final Call call, final int attempt) {
        return call.phase() instanceof CallPhase.Sent sent && sent.attempt() == attempt
                ? sent.prefill()
                : Optional.empty();
    }

    /** Returns the upstream of an attempt that has read the prompt itself. */
    private static Optional<UpstreamName> readingUpstream(final Call call, final int attempt) {
        return call.phase() instanceof CallPhase.Sent sent
                        && sent.attempt() == attempt
                        && call.promptReadyAt().isEmpty()
                ? Optional.of(sent.upstream())
                : Optional.empty();
    }

    private static KeptPromptSection withPrompt(
            final Blackboard board,
            final KeptPromptSection section,
            final Call call,
            final RegisteredUpstream upstream) {
        if (call.parameters().segments().isEmpty()
                || Optional.ofNullable(
                                board.serving().routing().table().services().get(upstream.service()))
                        .filter(service -> service.memoryTokens() > 0)
                        .isEmpty()) {
            return section;
        }
        final UpstreamStart start = start(upstream);
        final KeptPrompts kept = section.engines().getOrDefault(start, KeptPrompts.NONE);
        return limit(section.with(start, kept.plus(call.parameters().segments(), call.tokens())));
    }

    /** Compares the time that an engine took for a prompt with the times for a kept and for an unknown beginning. */
    private static KeptPromptSection compared(
            final Blackboard board,
            final KeptPromptSection section,
            final Call call,
            final RegisteredUpstream upstream,
            final WorkMeasurement work,
            final Instant now) {
        final double kept = KeptPromptEstimate.keptTokens(board, call, upstream);
        final long prompt = KeptPromptEstimate.promptTokens(call);
        if (kept < MIN_SHOWN_FRACTION * prompt || kept == 0 || !work.start().equals(start(upstream))) {
            return section;
        }
        final double secondsPerToken = UpstreamSpeeds.secondsPerUnit(board, upstream, WorkKind.PROMPT_TOKEN, now);
        final double seconds = work.duration().toNanos() / 1e9;
        if (seconds >= prompt * secondsPerToken) {
            return section.with(
                            work.start(),
                            section.engines()
                                    .get(work.start())
                                    .without(call.parameters().segments()))
                    .withWrongEstimate();
        }
        return seconds <= (prompt - kept / 2) * secondsPerToken ? section.withHit((long) kept) : section;
    }

    private static UpstreamStart start(final RegisteredUpstream upstream) {
        return new UpstreamStart(upstream.name(), upstream.startedAtMillis());
    }

    private static KeptPromptSection limit(final KeptPromptSection section) {
        PMap<UpstreamStart, KeptPrompts> engines = section.engines();
        if (engines.size() <= MAX_ENGINES) {
            return section;
        }
        engines = engines.minus(engines.entrySet().stream()
                .min(Comparator.comparingLong(entry -> entry.getValue().readTokens()))
                .orElseThrow()
                .getKey());
        return new KeptPromptSection(engines, section.hits(), section.wrongEstimates(), section.savedTokens());
    }
}
