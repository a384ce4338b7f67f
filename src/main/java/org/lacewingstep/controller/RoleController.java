package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Decision;
import org.lacewingstep.blackboard.Decision.Input;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.RegistrySection.Entry;
import org.lacewingstep.blackboard.RoleSection;
import org.lacewingstep.blackboard.RoleSection.Occupancy;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RolePlan;
import org.lacewingstep.domain.ServiceLimits;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.placement.RoleBalance;
import org.lacewingstep.placement.RoleBalance.RoleLoad;

/**
 * Measures how full the engines of each role are and orders engines to change their role.
 *
 * <p>One instance at a time sends orders: it first writes its plan to the store by compare-and-swap, and the revision
 * of this write is the fencing number of the plan's orders. It sends them only shortly after the write was requested,
 * and another instance replaces the plan only long after that, so that two instances never order in turn.
 */
public final class RoleController implements Controller<RoleSection> {
    /** Time after the request to write a plan within which the plan's orders are sent. */
    static final Duration ORDER_PERIOD = Duration.ofMillis(1500);

    /** Time after a failed write before the next one, because each call to the store has a cost. */
    private static final Duration RETRY_INTERVAL = Duration.ofSeconds(3);

    /** Interval between two samples of the occupancy. */
    private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(250);

    /** Samples before the first change: three seconds of traffic, in which streams fill the memory. */
    private static final int MIN_SAMPLES = 12;

    /** Weight of the latest sample in the moving average; the average covers about three seconds. */
    private static final double LATEST_SAMPLE_WEIGHT = 0.08;

    /** Time after a plan was written before its author writes another, so that the averages show its effect. */
    private static final Duration SETTLE_PERIOD = Duration.ofSeconds(12);

    @Override
    public Class<RoleSection> section() {
        return RoleSection.class;
    }

    @Override
    public Outcome<RoleSection> step(final Blackboard board, final Event event, final Instant now) {
        final RoleSection section = board.serving().roles();
        return switch (event) {
            case Event.SiteConfigured configured -> scheduleSample(section, new OutcomeBuilder(), now);
            case Event.TimerFired(TimerKey.RoleSample()) -> sample(board, now);
            case Event.StoreRead(var content, StoreRevision revision, Instant requestedAt) ->
                Outcome.of(apply(withoutPlanOfEarlierEra(section, revision.era(), now), content, now));
            case Event.StoreChanged(var changes, StoreRevision revision) -> Outcome.of(apply(section, changes, now));
            case Event.RolePlanWriteEnded(RolePlan plan, var revision, Instant requestedAt) ->
                revision.map(written -> order(board, plan, written, requestedAt, now))
                        .orElseGet(() -> abandonWrite(section, now));
            // The time of a suspension is not part of the present time, so the order period cannot be checked.
            case Event.ClockJumped jumped -> Outcome.of(withWriting(section, Optional.empty()));
            default -> Outcome.of(section);
        };
    }

    /**
     * Forgets the revision of a plan that the store may have lost, and defers the next plan: another instance may have
     * ordered by it a moment ago.
     */
    private static RoleSection withoutPlanOfEarlierEra(final RoleSection section, final long era, final Instant now) {
        return section.revision().era() >= era
                ? section
                : new RoleSection(
                        section.plan(),
                        StoreRevision.absent(era),
                        now,
                        Optional.empty(),
                        section.failedAt(),
                        section.occupancies());
    }

    private static Outcome<RoleSection> scheduleSample(
            final RoleSection section, final OutcomeBuilder builder, final Instant now) {
        builder.add(new Effect.StartTimer(new TimerKey.RoleSample(), now.plus(SAMPLE_INTERVAL)));
        return builder.outcome(section);
    }

    private static Outcome<RoleSection> sample(final Blackboard board, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        RoleSection section = board.serving().roles();
        for (final ServiceLimits service :
                board.serving().routing().table().services().values()) {
            if (service.memoryTokens() > 0) {
                section = withSample(board, section, service, now);
            }
        }
        if (section.writing().isEmpty() && mayPlan(board, section, now)) {
            final Map<UpstreamName, RolePlan.Change> changes = plannedChanges(board, section, now);
            if (!changes.isEmpty()) {
                final RolePlan plan = new RolePlan(board.identity().member().name(), changes);
                section = withWriting(section, Optional.of(plan));
                builder.add(new Effect.WriteRolePlan(plan, StoreEras.expected(board, section.revision())));
            }
        }
        return scheduleSample(section, builder, now);
    }

    private static RoleSection withSample(
            final Blackboard board, final RoleSection section, final ServiceLimits service, final Instant now) {
        final List<RegisteredUpstream> prefill = engines(board, service.name(), UpstreamRole.PREFILL, now);
        final List<RegisteredUpstream> decode = engines(board, service.name(), UpstreamRole.DECODE, now);
        if (prefill.isEmpty() || decode.isEmpty()) {
            return section;
        }
        final double prompts = prefill.stream()
                        .mapToLong(engine ->
                                board.serving().use(engine.name(), now).requests())
                        .sum()
                / (double) prefill.size();
        final double memory = decode.stream()
                        .mapToLong(engine ->
                                board.serving().use(engine.name(), now).tokens())
                        .sum()
                / (double) (decode.size() * service.memoryTokens());
        final Occupancy known = section.occupancies().getOrDefault(service.name(), Occupancy.NONE);
        if (known.samples() == 0 && memory == 0) {
            return section;
        }
        final double weight = Math.max(LATEST_SAMPLE_WEIGHT, 1.0 / (known.samples() + 1));
        final Occupancy next = new Occupancy(
                known.prefill() + weight * (prompts - known.prefill()),
                known.decode() + weight * (memory - known.decode()),
                known.samples() + 1);
        return new RoleSection(
                section.plan(),
                section.revision(),
                section.observedAt(),
                section.writing(),
                section.failedAt(),
                section.occupancies().plus(service.name(), next));
    }

    /** Returns whether this instance may replace the plan: it ranks first, and the last plan has had its effect. */
    private static boolean mayPlan(final Blackboard board, final RoleSection section, final Instant now) {
        final InstanceName self = board.identity().member().name();
        final boolean first = board.serving().site().present().keySet().stream()
                .min(Comparator.comparing(InstanceName::value))
                .filter(self::equals)
                .isPresent();
        if (!first
                || section.failedAt().plus(RETRY_INTERVAL).isAfter(now)
                || !board.lifecycle().isReady()
                || board.serving().registry().revision().isEmpty()) {
            return false;
        }
        final Duration orderInterval = board.serving().site().bounds().orderInterval();
        final Duration pause = SETTLE_PERIOD.compareTo(orderInterval.plus(ORDER_PERIOD.multipliedBy(2))) > 0
                ? SETTLE_PERIOD
                : orderInterval.plus(ORDER_PERIOD.multipliedBy(2));
        return section.plan().isEmpty() || !section.observedAt().plus(pause).isAfter(now);
    }

    private static Map<UpstreamName, RolePlan.Change> plannedChanges(
            final Blackboard board, final RoleSection section, final Instant now) {
        final Map<UpstreamName, RolePlan.Change> changes = new HashMap<>();
        section.occupancies().forEach((service, occupancy) -> {
            if (occupancy.samples() < MIN_SAMPLES
                    || board.serving().rollouts().of(service).isRunning()) {
                return;
            }
            final List<RegisteredUpstream> prefill = engines(board, service, UpstreamRole.PREFILL, now);
            final List<RegisteredUpstream> decode = engines(board, service, UpstreamRole.DECODE, now);
            final int change = RoleBalance.engineChange(
                    new RoleLoad(prefill.size(), RoleBalance.busyFraction(occupancy.prefill())),
                    new RoleLoad(decode.size(), occupancy.decode()));
            final List<RegisteredUpstream> candidates = change > 0 ? prefill : decode;
            final UpstreamRole role = change > 0 ? UpstreamRole.DECODE : UpstreamRole.PREFILL;
            leastUsed(board, candidates, now)
                    .limit(Math.abs(change))
                    .forEach(engine -> changes.put(engine.name(), new RolePlan.Change(role, engine.startedAtMillis())));
        });
        return changes;
    }

    /** Orders engines by use, in failure domains with many of them first, so that every domain keeps both roles. */
    private static Stream<RegisteredUpstream> leastUsed(
            final Blackboard board, final List<RegisteredUpstream> engines, final Instant now) {
        return engines.stream()
                .sorted(Comparator.comparingLong((RegisteredUpstream engine) -> -engines.stream()
                                .filter(other -> other.failureDomain().equals(engine.failureDomain()))
                                .count())
                        .thenComparingLong(engine ->
                                board.serving().use(engine.name(), now).requests())
                        .thenComparing(engine -> engine.name().value()));
    }

    /** Lists the engines of a role that can serve requests and keep their role for now. */
    private static List<RegisteredUpstream> engines(
            final Blackboard board, final ServiceName service, final UpstreamRole role, final Instant now) {
        return board.serving().registry().upstreams().values().stream()
                .filter(entry -> entry.missingSince().isEmpty())
                .map(Entry::upstream)
                .filter(upstream -> upstream.service().equals(service)
                        && upstream.role() == role
                        && !upstream.draining()
                        && upstream.coldFor().isZero()
                        && !board.serving().routing().takenOut().contains(upstream.failureDomain())
                        && !board.serving().roles().isChanging(upstream, now))
                .toList();
    }

    private static RoleSection apply(final RoleSection section, final List<StoreChange> changes, final Instant now) {
        RoleSection next = section;
        for (final StoreChange change : changes) {
            if (change instanceof StoreChange.RolePlanChanged(RolePlan plan, StoreRevision revision)) {
                next = withPlan(next, plan, revision, now);
            }
        }
        return next;
    }

    private static RoleSection withPlan(
            final RoleSection section, final RolePlan plan, final StoreRevision revision, final Instant now) {
        return !revision.isAfter(section.revision())
                ? section
                : new RoleSection(
                        Optional.of(plan), revision, now, section.writing(), section.failedAt(), section.occupancies());
    }

    private static RoleSection withWriting(final RoleSection section, final Optional<RolePlan> writing) {
        return new RoleSection(
                section.plan(),
                section.revision(),
                section.observedAt(),
                writing,
                section.failedAt(),
                section.occupancies());
    }

    private static Outcome<RoleSection> order(
            final Blackboard board,
            final RolePlan plan,
            final StoreRevision revision,
            final Instant requestedAt,
            final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        final RoleSection section = board.serving().roles();
        final boolean current = section.writing().filter(plan::equals).isPresent()
                && Duration.between(requestedAt, now).compareTo(ORDER_PERIOD) < 0;
        plan.changes().forEach((name, change) -> {
            final Optional<RegisteredUpstream> engine = UpstreamChoice.findRegistered(board, name);
            if (current && engine.isPresent() && plan.isPending(engine.get())) {
                builder.add(new Effect.OrderRole(engine.get(), change.role(), plan.author(), revision.toLong()));
            }
            builder.add(new Effect.Log(Decision.of(
                    "role",
                    current ? "ordered" : "not ordered, the plan was written too late",
                    Input.of("upstream", name),
                    Input.of("role", change.role()),
                    Input.of("fence", revision),
                    Input.of("occupancies", section.occupancies()))));
        });
        return builder.outcome(withWriting(withPlan(section, plan, revision, now), Optional.empty()));
    }

    private static Outcome<RoleSection> abandonWrite(final RoleSection section, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        builder.add(new Effect.Log(Decision.of("role", "plan not written", Input.of("revision", section.revision()))));
        return builder.outcome(new RoleSection(
                section.plan(),
                section.revision(),
                section.observedAt(),
                Optional.empty(),
                now,
                section.occupancies()));
    }
}
