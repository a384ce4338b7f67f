package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.RegistrySection.Entry;
import org.lacewingstep.blackboard.UpstreamNoticeSection.Announcement;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamStart;
import org.lacewingstep.placement.ReturnDelay;

/** Decides whether an upstream may receive requests, by the registry and what it has announced in its responses. */
public final class UpstreamAvailability {
    /** Time for which an upstream that leaves is reported, so that lost reports and restarts are made up for. */
    private static final Duration REPORT_PERIOD = Duration.ofSeconds(30);

    private UpstreamAvailability() {}

    /**
     * Returns whether an upstream may be sent a request: it is registered, not shutting down and none of its pauses is
     * running. Checked again before each send, since the choice may be outdated by then.
     *
     * @param board the blackboard, not null
     * @param upstream the upstream, as it was when it was chosen, not null
     * @param now the present time, not null
     * @return true if a call, a prompt or a reservation may be sent
     */
    public static boolean acceptsRequests(
            final Blackboard board, final RegisteredUpstream upstream, final Instant now) {
        final Entry entry = board.serving().registry().upstreams().get(upstream.name());
        return entry != null
                && entry.upstream().startedAtMillis() == upstream.startedAtMillis()
                && acceptsRequests(board, entry, now);
    }

    /**
     * Returns whether a registered upstream may be sent a request.
     *
     * @param board the blackboard, not null
     * @param entry the registry entry of the upstream, not null
     * @param now the present time, not null
     * @return true if a call, a prompt or a reservation may be sent
     */
    static boolean acceptsRequests(final Blackboard board, final Entry entry, final Instant now) {
        final Announcement announced = announced(board, entry.upstream());
        return isStaying(board, entry, now)
                && announced.leavingSince().isEmpty()
                && !announced.pausedUntil().isAfter(now);
    }

    /**
     * Returns whether an upstream takes a request of this instance now, by the rate that it has announced. Unlike
     * {@link #acceptsRequests}, this is checked only where a request is counted at once.
     *
     * @param board the blackboard, not null
     * @param upstream the upstream, not null
     * @param now the present time, not null
     * @return true if the upstream names no rate or this instance has a request left in this second
     */
    static boolean isWithinAnnouncedLimit(
            final Blackboard board, final RegisteredUpstream upstream, final Instant now) {
        return announced(board, upstream)
                .requestsPerSecond()
                .map(rate -> RequestLimitShare.permitsRequest(board, upstream, rate, now))
                .orElse(true);
    }

    /**
     * Returns whether an upstream has announced a rate, so that a response without one ends the limit.
     *
     * @param board the blackboard, not null
     * @param upstream the upstream, not null
     * @return true if the last response of the upstream named a rate
     */
    public static boolean isLimited(final Blackboard board, final RegisteredUpstream upstream) {
        return announced(board, upstream).requestsPerSecond().isPresent();
    }

    private static boolean isStaying(final Blackboard board, final Entry entry, final Instant now) {
        return !entry.upstream().draining()
                && RegistryController.isRegistered(board.serving().registry(), entry, now);
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
                final Entry entry = board.serving().registry().upstreams().get(name);
                if (!isStaying(board, entry, now)) {
                    continue;
                }
                known = true;
                final Announcement announced = announced(board, entry.upstream());
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
        return board.serving().notices().of(start(upstream));
    }

    private static UpstreamStart start(final RegisteredUpstream upstream) {
        return new UpstreamStart(upstream.name(), upstream.startedAtMillis());
    }
}
