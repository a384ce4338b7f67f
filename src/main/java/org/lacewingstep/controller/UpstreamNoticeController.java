package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Decision;
import org.lacewingstep.blackboard.Decision.Input;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.UpstreamNotice;
import org.lacewingstep.blackboard.UpstreamNoticeSection;
import org.lacewingstep.blackboard.UpstreamNoticeSection.Announcement;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.UpstreamStart;
import org.pcollections.PMap;

/** Records which upstreams announce in their responses that they are shutting down, pause requests or limit them. */
public final class UpstreamNoticeController implements Controller<UpstreamNoticeSection> {
    /** Most starts of upstreams whose announcements are kept; many more than a site has at a time. */
    static final int MAX_ANNOUNCEMENTS = 4096;

    /** Longest pause that is believed, so that a faulty value does not take an upstream out of use for good. */
    static final Duration MAX_PAUSE = Duration.ofMinutes(10);

    @Override
    public Class<UpstreamNoticeSection> section() {
        return UpstreamNoticeSection.class;
    }

    @Override
    public Outcome<UpstreamNoticeSection> step(final Blackboard board, final Event event, final Instant now) {
        final UpstreamNoticeSection section = board.serving().notices();
        return switch (event) {
            case Event.UpstreamNoticeReceived(UpstreamNotice notice) -> handleNotice(section, notice, now);
            case Event.PeerLoadReported(Incarnation sender, PeerMessage.SiteLoad load) ->
                handleReport(section, sender, load.leaving(), now);
            default -> Outcome.of(section);
        };
    }

    /** Adds the upstreams that another instance has found leaving. */
    private static Outcome<UpstreamNoticeSection> handleReport(
            final UpstreamNoticeSection section,
            final Incarnation sender,
            final Set<UpstreamStart> leaving,
            final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        PMap<UpstreamStart, Announcement> next = section.announcements();
        for (final UpstreamStart start : leaving) {
            final Announcement known = section.of(start);
            if (known.leavingSince().isEmpty()) {
                next = limit(next.plus(
                        start, new Announcement(Optional.of(now), known.pausedUntil(), known.requestsPerSecond())));
                builder.add(new Effect.Log(Decision.of(
                        "upstream",
                        "reported leaving",
                        Input.of("upstream", start.upstream()),
                        Input.of("started_at", start.startedAtMillis()),
                        Input.of("by", sender.instance()))));
            }
        }
        return builder.outcome(new UpstreamNoticeSection(next));
    }

    /** Adds a notice; a pause that ends earlier than a known one shortens nothing. */
    private static Outcome<UpstreamNoticeSection> handleNotice(
            final UpstreamNoticeSection section, final UpstreamNotice notice, final Instant now) {
        final Announcement known = section.of(notice.start());
        final Optional<Instant> leavingSince =
                known.leavingSince().or(() -> notice.leaving() ? Optional.of(now) : Optional.empty());
        final Instant pausedUntil = notice.pause()
                .map(pause -> now.plus(pause.compareTo(MAX_PAUSE) < 0 ? pause : MAX_PAUSE))
                .filter(until -> until.isAfter(known.pausedUntil()))
                .orElse(known.pausedUntil());
        final Announcement next = new Announcement(leavingSince, pausedUntil, notice.requestsPerSecond());
        if (next.equals(known)) {
            return Outcome.of(section);
        }
        final OutcomeBuilder builder = new OutcomeBuilder();
        if (!leavingSince.equals(known.leavingSince())) {
            log(notice, "leaving", Duration.ZERO, builder);
            builder.add(new Event.LoadReportRequested());
        }
        if (!pausedUntil.equals(known.pausedUntil())) {
            log(notice, "paused", Duration.between(now, pausedUntil), builder);
        }
        final boolean limited = notice.requestsPerSecond().isPresent();
        if (limited != known.requestsPerSecond().isPresent()) {
            builder.add(new Effect.Log(Decision.on(
                    "upstream",
                    notice.request(),
                    limited ? "limits requests" : "limits requests no more",
                    Input.of("upstream", notice.start().upstream()),
                    Input.of("started_at", notice.start().startedAtMillis()),
                    Input.of("per_second", notice.requestsPerSecond().orElse(0.0)))));
        }
        return builder.outcome(
                new UpstreamNoticeSection(limit(section.announcements().plus(notice.start(), next))));
    }

    /** Drops the earliest start of an upstream if there are too many. */
    private static PMap<UpstreamStart, Announcement> limit(final PMap<UpstreamStart, Announcement> announcements) {
        return announcements.size() <= MAX_ANNOUNCEMENTS
                ? announcements
                : announcements.keySet().stream()
                        .min(Comparator.comparingLong(UpstreamStart::startedAtMillis))
                        .map(announcements::minus)
                        .orElse(announcements);
    }

    private static void log(
            final UpstreamNotice notice, final String outcome, final Duration pause, final OutcomeBuilder builder) {
        builder.add(new Effect.Log(Decision.on(
                "upstream",
                notice.request(),
                outcome,
                Input.of("upstream", notice.start().upstream()),
                Input.of("started_at", notice.start().startedAtMillis()),
                Input.of("pause_ms", pause.toMillis()))));
    }
}
