package org.lacewingstep.controller;

import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.domain.KeptPrompts;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.ServiceLimits;
import org.lacewingstep.domain.TokenDemand;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamStart;
import org.lacewingstep.domain.WorkKind;
import org.lacewingstep.placement.UpstreamForecast;

/** Estimates how much of a prompt an engine keeps, and what that saves. */
final class KeptPromptEstimate {
    private KeptPromptEstimate() {}

    /**
     * Estimates how many tokens of a call's prompt an engine keeps.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param upstream the engine, not null
     * @return the number of tokens, zero if the service keeps no prompts or the call names no parts
     */
    static double keptTokens(final Blackboard board, final Call call, final RegisteredUpstream upstream) {
        final ServiceLimits service =
                board.serving().routing().table().services().get(upstream.service());
        if (service == null
                || service.memoryTokens() == 0
                || call.parameters().segments().isEmpty()) {
            return 0;
        }
        final KeptPrompts kept = board.serving()
                .learned()
                .keptPrompts()
                .engines()
                .getOrDefault(new UpstreamStart(upstream.name(), upstream.startedAtMillis()), KeptPrompts.NONE);
        final double ownMemory =
                service.memoryTokens() / (double) board.serving().site().instances();
        return Math.min(promptTokens(call), kept.keptTokens(call.parameters().segments(), ownMemory));
    }

    /**
     * Computes which part of the time that a call needs at an engine is saved by what the engine keeps. The saved time
     * is less than that of one request, so an engine with longer waits is not preferred for it.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param upstream the engine, not null
     * @param now the present time, not null
     * @return the fraction of the time, from 0 to 1
     */
    static double savedFraction(
            final Blackboard board, final Call call, final RegisteredUpstream upstream, final Instant now) {
        final double kept = keptTokens(board, call, upstream);
        if (kept == 0) {
            return 0;
        }
        return switch (upstream.role()) {
            case PLAIN -> 0;
            case PREFILL -> kept / promptTokens(call);
            case DECODE ->
                hasPrefillUpstreams(board, upstream)
                        ? 0
                        : UpstreamForecast.readingFraction(
                                kept,
                                promptTokens(call),
                                call.parameters()
                                        .tokens()
                                        .map(TokenDemand::output)
                                        .orElse(0L),
                                UpstreamSpeeds.secondsPerUnit(board, upstream, WorkKind.PROMPT_TOKEN, now),
                                UpstreamSpeeds.secondsPerUnit(board, upstream, WorkKind.OUTPUT_EVENT, now));
        };
    }

    /**
     * Returns the number of tokens of a call's prompt.
     *
     * @param call the call, not null
     * @return the number of tokens, zero if the caller gave none
     */
    static long promptTokens(final Call call) {
        return call.parameters().tokens().map(TokenDemand::prompt).orElse(0L);
    }

    private static boolean hasPrefillUpstreams(final Blackboard board, final RegisteredUpstream upstream) {
        return !board.serving()
                .registry()
                .pool(upstream.service(), UpstreamRole.PREFILL)
                .isEmpty();
    }

    /**
     * Finds the call of a request.
     *
     * @param board the blackboard, not null
     * @param request the identifier of the call, not null
     * @return the call, empty if it is not open
     */
    static Optional<Call> findCall(final Blackboard board, final RequestIdentifier request) {
        return Optional.ofNullable(board.serving().calls().calls().get(request));
    }
}
