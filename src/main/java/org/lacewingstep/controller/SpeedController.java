package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.SpeedSection;
import org.lacewingstep.blackboard.SpeedSection.ServiceWork;
import org.lacewingstep.blackboard.WorkMeasurement;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.SpeedKey;
import org.lacewingstep.domain.SpeedSum;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamUse;
import org.lacewingstep.domain.WorkKind;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** Measures how fast each start of an upstream works, from own responses and the sums of the other instances. */
public final class SpeedController implements Controller<SpeedSection> {
    /** Most kinds of work and starts that are kept; many more than a site has at a time. */
    static final int MAX_KEYS = 2048;

    /** Half-lives after which a reported sum counts nothing. */
    private static final int FORGOTTEN_HALF_LIVES = 20;

    /** Shortest duration of a unit of work that is counted; a shorter one is an error of measurement. */
    private static final double MIN_SECONDS = 1e-7;

    @Override
    public Class<SpeedSection> section() {
        return SpeedSection.class;
    }

    @Override
    public Outcome<SpeedSection> step(final Blackboard board, final Event event, final Instant now) {
        final SpeedSection section = board.serving().learned().speeds();
        return switch (event) {
            case Event.WorkMeasured(WorkMeasurement measurement) ->
                Outcome.of(withMeasurement(board, section, measurement, now));
            case Event.PeerLoadReported(Incarnation sender, PeerMessage.SiteLoad load) ->
                Outcome.of(withReport(board, section, sender, load.speeds(), now));
            case Event.StoreChanged changed -> Outcome.of(withoutForgotten(section, now));
            default -> Outcome.of(section);
        };
    }

    private static SpeedSection withMeasurement(
            final Blackboard board, final SpeedSection section, final WorkMeasurement measured, final Instant now) {
        final Optional<RegisteredUpstream> registered = UpstreamChoice.findRegistered(
                        board, measured.start().upstream())
                .filter(upstream ->
                        upstream.startedAtMillis() == measured.start().startedAtMillis());
        final double units = registered
                .map(upstream -> units(board, upstream, measured, now))
                .orElse(0.0);
        if (units <= 0 || measured.duration().isNegative()) {
            return section;
        }
        final SpeedKey key = new SpeedKey(measured.start(), measured.kind());
        final SpeedSum merged = section.merged().getOrDefault(key, SpeedSum.NONE);
        final double seconds = merged.at(now).limit(Math.max(MIN_SECONDS, seconds(measured.duration()) / units));
        return new SpeedSection(
                limit(section.own()
                        .plus(
                                key,
                                section.own().getOrDefault(key, SpeedSum.NONE).plusSample(seconds, now))),
                section.reports(),
                limit(section.merged().plus(key, merged.plusSample(seconds, now))),
                section.services()
                        .plus(
                                new ServiceWork(registered.get().service(), measured.kind()),
                                serviceSum(section, registered.get(), measured.kind())
                                        .plusSample(seconds, now)));
    }

    /**
     * Counts the units that the upstream has worked on for the measured time: a prompt waits for the prompts before it,
     * and a plain call for the calls that exceed the slots of the upstream.
     */
    private static double units(
            final Blackboard board,
            final RegisteredUpstream upstream,
            final WorkMeasurement measured,
            final Instant now) {
        final UpstreamUse use = board.serving().use(upstream.name(), now);
        return switch (measured.kind()) {
            case OUTPUT_EVENT -> measured.units();
            case PLAIN_CALL ->
                board.serving().site().isRelayed() ? 1 : Math.max(1, use.requests() / (double) upstream.slots());
            case PROMPT_TOKEN ->
                KeptPromptEstimate.findCall(board, measured.request())
                        .map(call -> promptUnits(board, call, upstream, use))
                        .orElse(0.0);
        };
    }

    private static double promptUnits(
            final Blackboard board, final Call call, final RegisteredUpstream upstream, final UpstreamUse use) {
        final double read =
                KeptPromptEstimate.promptTokens(call) - KeptPromptEstimate.keptTokens(board, call, upstream);
        final boolean queues = upstream.role() == UpstreamRole.PREFILL
                && !board.serving().site().isRelayed();
        return queues ? Math.max(read, use.tokens()) : read;
    }

    private static double seconds(final Duration duration) {
        return duration.toNanos() / 1e9;
    }

    /** Replaces the sums of a reporter by later ones; a sum that arrives again or late changes nothing. */
    private static SpeedSection withReport(
            final Blackboard board,
            final SpeedSection section,
            final Incarnation sender,
            final Map<SpeedKey, SpeedSum> speeds,
            final Instant now) {
        if (speeds.isEmpty() || sender.equals(board.identity().incarnation())) {
            return section;
        }
        PMap<SpeedKey, SpeedSum> known = section.reports().getOrDefault(sender, HashTreePMap.empty());
        PMap<SpeedKey, SpeedSum> merged = section.merged();
        PMap<ServiceWork, SpeedSum> services = section.services();
        for (final Map.Entry<SpeedKey, SpeedSum> entry : speeds.entrySet()) {
            final SpeedKey key = entry.getKey();
            final SpeedSum before = known.getOrDefault(key, SpeedSum.NONE);
            final Optional<RegisteredUpstream> upstream =
                    UpstreamChoice.findRegistered(board, key.start().upstream());
            if (entry.getValue().samples() > before.samples() && upstream.isPresent()) {
                final SpeedSum reported = received(entry.getValue(), now);
                known = known.plus(key, reported);
                merged = merged.plus(key, replaced(merged.getOrDefault(key, SpeedSum.NONE), before, reported, now));
                services = services.plus(
                        new ServiceWork(upstream.get().service(), key.kind()),
                        replaced(serviceSum(section, upstream.get(), key.kind()), before, reported, now));
            }
        }
        return new SpeedSection(section.own(), section.reports().plus(sender, limit(known)), limit(merged), services);
    }

    /** Dates a reported sum by its arrival, because the clocks of instances differ. */
    private static SpeedSum received(final SpeedSum reported, final Instant now) {
        return new SpeedSum(reported.samples(), reported.weight(), reported.logSum(), now);
    }

    private static SpeedSum replaced(
            final SpeedSum sum, final SpeedSum before, final SpeedSum after, final Instant now) {
        return sum.minus(before, now).plus(after, now);
    }

    private static SpeedSum serviceSum(
            final SpeedSection section, final RegisteredUpstream upstream, final WorkKind kind) {
        return section.services().getOrDefault(new ServiceWork(upstream.service(), kind), SpeedSum.NONE);
    }

    /** Forgets the reports of earlier processes, of which nothing is left in the sums. */
    private static SpeedSection withoutForgotten(final SpeedSection section, final Instant now) {
        PMap<Incarnation, PMap<SpeedKey, SpeedSum>> reports = section.reports();
        final Instant oldest = now.minus(SpeedSum.HALF_LIFE.multipliedBy(FORGOTTEN_HALF_LIVES));
        for (final Map.Entry<Incarnation, PMap<SpeedKey, SpeedSum>> report :
                section.reports().entrySet()) {
            if (report.getValue().values().stream().noneMatch(sum -> sum.at().isAfter(oldest))) {
                reports = reports.minus(report.getKey());
            }
        }
        return reports.size() == section.reports().size()
                ? section
                : new SpeedSection(section.own(), reports, section.merged(), section.services());
    }

    /** Drops what was changed least recently if there is too much. */
    private static PMap<SpeedKey, SpeedSum> limit(final PMap<SpeedKey, SpeedSum> sums) {
        return sums.size() <= MAX_KEYS
                ? sums
                : sums.entrySet().stream()
                        .min(Comparator.comparing(entry -> entry.getValue().at()))
                        .map(entry -> sums.minus(entry.getKey()))
                        .orElse(sums);
    }
}
