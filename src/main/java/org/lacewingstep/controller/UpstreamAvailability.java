package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.UpstreamNoticeSection.Announcement;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamStart;
import org.lacewingstep.placement.ReturnDelay;

/** Decides whether an upstream may receive requests, by what it has announced in its responses. */
public final class UpstreamAvailability {
    /** Time for which an upstream that leaves is reported, so that lost reports and restarts are made up for. */
    private static final Duration REPORT_PERIOD = Duration.ofSeconds(30);

    private UpstreamAvailability() {}

    /**
     * Returns whether an upstream may be sent a request: it is not shutting down and none of its pauses is running.
     *
     * @param board the blackboard, not null
     * @param upstream the upstream, not null
     * @param now the present time, not null
     * @return true if a call, a prompt or a reservation may be sent
     */
    public static boolean acceptsRequests(
            final Blackboard board, final RegisteredUpstream upstream, final Instant now) {
        final Announcement announced = announced(board, upstream);
        return announced.leavingSince().isEmpty() && !announced.pausedUntil().isAfter(now);
    }

    /**
     * Computes the delay with which a call is refused that no upstream of its service accepts in time. Callers return
     * one after the other, since they would otherwise meet at the end of a pause.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param until until when the call may wait, not null
     * @param now the present time, not null
     * @return the delay, empty if an upstream accepts requests in time or none is known
     */
    static Optional<Duration> refusalDelay(
            final Blackboard board, final Call call, final Instant until, final Instant now) {
        boolean known = false;
        Optional<Instant> firstEnd = Optional.empty();
        for (final UpstreamRole role : CallPlacement.RESPONDING_ROLES) {
            for (final UpstreamName name : board.serving().registry().pool(call.service(), role)) {
                final RegisteredUpstream upstream =
                        board.serving().registry().upstreams().get(name).upstream();
                if (upstream.draining()) {
                    continue;
                }
                known = true;
                final Announcement announced = announced(board, upstream);
                if (announced.leavingSince().isEmpty()) {
                    if (until.isAfter(announced.pausedUntil())) {
                        return Optional.empty();
                    }
                    firstEnd = firstEnd.filter(end -> end.isBefore(announced.pausedUntil()))
                            .or(() -> Optional.of(announced.pausedUntil()));
                }
            }
        }
        if (!known) {
            return Optional.empty();
        }
        final Duration pause = firstEnd.map(end -> Duration.between(now, end)).orElse(Duration.ZERO);
        return Optional.of(pause.plus(
                ReturnDelay.of(call.parameters().request(), Duration.ZERO, Duration.between(now, call.deadline()))));
    }

    /**
     * Lists the upstreams whose leaving is reported to the other instances: those that have lately been found leaving.
     *
     * @param board the blackboard, not null
     * @param now the present time, not null
     * @return the starts of the upstreams, never null
     */
    static Set<UpstreamStart> reportedLeaving(final Blackboard board, final Instant now) {
        return board.serving().notices().announcements().entrySet().stream()
                .filter(entry -> entry.getValue()
                        .leavingSince()
                        .filter(since -> since.plus(REPORT_PERIOD).isAfter(now))
                        .isPresent())
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static Announcement announced(final Blackboard board, final RegisteredUpstream upstream) {
        return board.serving().notices().of(new UpstreamStart(upstream.name(), upstream.startedAtMillis()));
    }
}
