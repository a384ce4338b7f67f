package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.Decision;
import org.lacewingstep.blackboard.Decision.Input;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.domain.RegisteredUpstream;

/** Logs that a call is sent, with the inputs of the choice and their ages. */
final class SentCallLog {
    private SentCallLog() {}

    /**
     * Creates the log line of an attempt.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param attempt the number of the attempt, from one
     * @param upstream the upstream that generates the response, not null
     * @param prefill the upstream that processes the prompt, empty if the other one does
     * @param now the present time, not null
     * @return the effect that writes the line, never null
     */
    static Effect create(
            final Blackboard board,
            final Call call,
            final int attempt,
            final RegisteredUpstream upstream,
            final Optional<RegisteredUpstream> prefill,
            final Instant now) {
        return new Effect.Log(Decision.on(
                "placement",
                call.parameters().request(),
                "sent",
                Input.of("route", call.route().name()),
                Input.of("upstream", upstream.name()),
                Input.of(
                        "prefill_upstream",
                        prefill.map(chosen -> chosen.name().value()).orElse("none")),
                Input.of("prefill_limited", prefill.isPresent() ? 0 : UpstreamChoice.countLimited(board, call, now)),
                Input.of("attempt", attempt),
                Input.of("team", call.team().map(Object::toString).orElse("none")),
                Input.of("urgency", call.urgency().rank()),
                Input.of("version", board.serving().routing().table().version()),
                Input.of(
                        "registry_age_ms",
                        Duration.between(board.serving().registry().checkedAt(), now)
                                .toMillis()),
                Input.of("running", board.serving().use(upstream.name(), now)),
                Input.of("kept_tokens", (long) KeptPromptEstimate.keptTokens(board, call, prefill.orElse(upstream))),
                Input.of("forecast_wait_ms", UpstreamSpeeds.forecastMillis(board, upstream, now)),
                Input.of("left_ms", Duration.between(now, call.deadline()).toMillis())));
    }
}
