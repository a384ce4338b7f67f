package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.Decision;
import org.lacewingstep.blackboard.Decision.Input;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.RolloutOccurrence;
import org.lacewingstep.blackboard.RolloutSection;
import org.lacewingstep.blackboard.RolloutSection.Duty;
import org.lacewingstep.blackboard.RolloutSection.Rollout;
import org.lacewingstep.blackboard.RolloutSection.View;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.blackboard.TimerKey;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.RolloutOrder;
import org.lacewingstep.domain.RolloutPlan;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.VersionName;
import org.lacewingstep.rollout.RolloutDecision;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * Moves the requests of a service to another version when the operators order it.
 *
 * <p>The plan in the store says how far a rollout is. Every instance follows the plan, counts responses, shares the
 * counts and judges the version; one of them writes the next stage by compare-and-swap.
 */
public final class RolloutController implements Controller<RolloutSection> {
    /** Interval at which versions are judged. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    /** Time after a failed write before the next one, in which the plan would be read if it was written. */
    private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

    /** Result of an attempt that made no progress for too long; it counts at once, whatever follows. */
    private static final CallResult NO_DATA = new CallResult.Broken(true, false);

    @Override
    public Class<RolloutSection> section() {
        return RolloutSection.class;
    }

    @Override
    public Outcome<RolloutSection> step(final Blackboard board, final Event event, final Instant now) {
        final RolloutSection section = board.serving().rollouts();
        return switch (event) {
            case Event.SiteConfigured configured -> scheduleCheck(section, new OutcomeBuilder(), now);
            case Event.SiteReloaded reloaded -> scheduleCheck(section, new OutcomeBuilder(), now);
            case Event.TimerFired(TimerKey.RolloutCheck()) when isPermitted(board) -> check(board, now);
            case Event.StoreRead(var content, StoreRevision revision, Instant requestedAt)
            when isPermitted(board) ->
                Outcome.of(withEstablished(
                        withContent(section, content, requestedAt, now).withNews(requestedAt),
                        content,
                        isStarting(board)));
            case Event.StoreChanged(var changes, StoreRevision revision)
            when isPermitted(board) ->
                Outcome.of(withEstablished(apply(section, changes, now).withNews(now), changes, isStarting(board)));
            case Event.RolloutAdvanced(RolloutOccurrence occurrence) -> Outcome.of(apply(board, occurrence, now));
            case Event.CallAttemptEnded(RequestIdentifier request, int attempt, CallResult result) ->
                Outcome.of(RolloutCounting.withEnded(board, request, attempt, result, now));
            case Event.UpstreamStalled(var upstream, Optional<AttemptIdentifier> stalled) ->
                Outcome.of(stalled.map(attempt ->
                                RolloutCounting.withEnded(board, attempt.request(), attempt.number(), NO_DATA, now))
                        .orElse(section));
            case Event.TimerFired(TimerKey.CallDeadline(RequestIdentifier request))
            when section.sent().containsKey(request) ->
                Outcome.of(RolloutCounting.withEnded(
                        board, request, section.sent().get(request).attempt(), NO_DATA, now));
            case Event.PeerLoadReported(Incarnation origin, var load) ->
                Outcome.of(RolloutCounting.withReport(section, origin, load.answers()));
            // The time of a suspension is not part of the present time, so the age of the news would be wrong.
            case Event.ClockJumped jumped -> Outcome.of(section.withNews(Instant.EPOCH));
            default -> Outcome.of(section);
        };
    }

    private static RolloutSection apply(final Blackboard board, final RolloutOccurrence occurrence, final Instant now) {
        return switch (occurrence) {
            case RolloutOccurrence.PlanWriteEnded(RolloutPlan plan, var revision) ->
                withWriteEnded(board.serving().rollouts(), plan, revision, now);
            case RolloutOccurrence.AttemptSent sent -> RolloutCounting.withSent(board, sent, now);
        };
    }

    private static boolean isPermitted(final Blackboard board) {
        return board.serving()
                .site()
                .policy()
                .filter(policy -> policy.rollout().permitRollouts())
                .isPresent();
    }

    private static Outcome<RolloutSection> scheduleCheck(
            final RolloutSection section, final OutcomeBuilder builder, final Instant now) {
        builder.add(new Effect.StartTimer(new TimerKey.RolloutCheck(), now.plus(CHECK_INTERVAL)));
        return builder.outcome(section);
    }

    /** Applies a reading of the whole store, in which an order that is missing has been removed. */
    private static RolloutSection withContent(
            final RolloutSection section,
            final List<StoreChange> content,
            final Instant requestedAt,
            final Instant now) {
        final Set<ServiceName> ordered = new HashSet<>();
        content.forEach(change -> {
            if (change instanceof StoreChange.RolloutOrdered(RolloutOrder order)) {
                ordered.add(order.service());
            }
        });
        RolloutSection next = section;
        for (final ServiceName service : section.rollouts().keySet()) {
            if (!ordered.contains(service)) {
                next = withdraw(next, service);
            }
        }
        return apply(next, content, now);
    }

    private static RolloutSection apply(
            final RolloutSection section, final List<StoreChange> changes, final Instant now) {
        RolloutSection next = section;
        for (final StoreChange change : changes) {
            next = switch (change) {
                case StoreChange.RolloutOrdered(RolloutOrder order) -> withOrder(next, order, now);
                case StoreChange.RolloutWithdrawn(ServiceName service) -> withdraw(next, service);
                case StoreChange.RolloutPlanChanged(RolloutPlan plan, StoreRevision revision) ->
                    withPlan(next, plan, revision, now);
                default -> next;
            };
        }
        return next;
    }

    private static RolloutSection withOrder(final RolloutSection section, final RolloutOrder order, final Instant now) {
        final Rollout known = section.of(order.service());
        if (known.order()
                .filter(present -> present.revision() >= order.revision())
                .isPresent()) {
            return section;
        }
        final Instant startedAt = known.plan()
                .filter(plan -> RolloutDecision.carriesOut(plan, order))
                .map(RolloutPlan::startedAt)
                .orElse(now);
        final PSet<VersionName> versions = section.established().getOrDefault(order.service(), HashTreePSet.empty());
        final RolloutSection next = section.with(order.service(), known.withOrder(Optional.of(order), startedAt));
        return versions.size() > 1
                ? next.withEstablished(section.established().plus(order.service(), versions.minus(order.target())))
                : next;
    }

    private static RolloutSection withdraw(final RolloutSection section, final ServiceName service) {
        final Rollout known = section.of(service);
        return section.rollouts().containsKey(service)
                ? section.with(service, known.withOrder(Optional.empty(), known.startedAt()))
                : section;
    }

    private static RolloutSection withPlan(
            final RolloutSection section, final RolloutPlan plan, final StoreRevision revision, final Instant now) {
        final Rollout known = section.of(plan.service());
        // The item's own revision is the one to compare with, whatever the response to its write named.
        if (known.plan().filter(plan::equals).isPresent()) {
            return section.with(plan.service(), known.withPlan(plan, revision, known.stageSince(), known.view()));
        }
        if (!revision.isAfter(known.revision())) {
            return section;
        }
        if (revision.era() > known.revision().era() && hasLaterStage(known, plan)) {
            return section.with(
                    plan.service(), known.withPlan(known.plan().get(), revision, known.stageSince(), known.view()));
        }
        final boolean sameRollout =
                known.plan().filter(old -> old.order() == plan.order()).isPresent();
        final boolean sameStage = sameRollout && known.plan().get().stage() == plan.stage();
        final Rollout planned = known.withPlan(
                plan, revision, sameStage ? known.stageSince() : now, sameRollout ? known.view() : View.INITIAL);
        final boolean other = known.order()
                .filter(order -> !RolloutDecision.carriesOut(plan, order))
                .isPresent();
        final Instant startedAt = other ? known.startedAt() : plan.startedAt();
        final RolloutSection next = RolloutCounting.withoutOthers(
                section.with(plan.service(), planned.withOrder(known.order(), startedAt)), plan);
        return plan.stage() == RolloutPlan.Stage.SUCCEEDED
                ? next.withEstablished(
                        section.established().plus(plan.service(), HashTreePSet.singleton(plan.target())))
                : next;
    }

    /** Returns whether this instance is not ready yet, so that it may not have seen all upstreams of the start. */
    private static boolean isStarting(final Blackboard board) {
        return !board.lifecycle().isReady();
    }

    /**
     * Adds the versions of services for which no version was known, and of all services before the instance is ready,
     * other than versions that an order names. A version whose rollout has not ended is not added either if there is no
     * other.
     */
    private static RolloutSection withEstablished(
            final RolloutSection section, final List<StoreChange> changes, final boolean starting) {
        final Map<ServiceName, PSet<VersionName>> found = new HashMap<>();
        for (final StoreChange change : changes) {
            if (change instanceof StoreChange.UpstreamRegistered(RegisteredUpstream upstream)
                    && (starting && !hasSucceeded(section, upstream.service())
                            || section.established()
                                    .getOrDefault(upstream.service(), HashTreePSet.empty())
                                    .isEmpty())) {
                found.merge(upstream.service(), HashTreePSet.singleton(upstream.version()), PSet::plusAll);
            }
        }
        PMap<ServiceName, PSet<VersionName>> established = section.established();
        for (final Map.Entry<ServiceName, PSet<VersionName>> entry : found.entrySet()) {
            final PSet<VersionName> versions =
                    entry.getValue().plusAll(section.established().getOrDefault(entry.getKey(), HashTreePSet.empty()));
            final Rollout rollout = section.of(entry.getKey());
            final PSet<VersionName> others = versions.minusAll(RolloutRouting.targets(rollout));
            established = established.plus(
                    entry.getKey(), others.isEmpty() ? versions.minusAll(RolloutRouting.unfinished(rollout)) : others);
        }
        return found.isEmpty() ? section : section.withEstablished(established);
    }

    private static boolean hasSucceeded(final RolloutSection section, final ServiceName service) {
        return section.of(service)
                .plan()
                .filter(plan -> plan.stage() == RolloutPlan.Stage.SUCCEEDED)
                .isPresent();
    }

    /** Returns whether a plan of the copy is at an earlier stage of the same rollout than the known one. */
    private static boolean hasLaterStage(final Rollout known, final RolloutPlan plan) {
        return known.plan()
                .filter(present ->
                        present.order() == plan.order() && present.stage().compareTo(plan.stage()) > 0)
                .isPresent();
    }

    private static RolloutSection withWriteEnded(
            final RolloutSection section,
            final RolloutPlan plan,
            final Optional<StoreRevision> revision,
            final Instant now) {
        final Rollout known = section.of(plan.service());
        final Duty duty = new Duty(known.duty().stage(), known.duty().since(), false, now.plus(RETRY_INTERVAL));
        final RolloutSection ended = section.with(plan.service(), known.with(known.view(), duty));
        final boolean seen = known.plan().filter(plan::equals).isPresent();
        return revision.filter(written -> !seen)
                .map(written -> withPlan(ended, plan, written, now))
                .orElse(ended);
    }

    private static Outcome<RolloutSection> check(final Blackboard board, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        RolloutSection section = RolloutCounting.withoutEndedCalls(board);
        for (final Map.Entry<ServiceName, Rollout> entry : section.rollouts().entrySet()) {
            final Rollout known = entry.getValue();
            final View view = known.isRunning() ? RolloutRouting.view(board, known, now) : known.view();
            if (view.isStopped() && !known.view().isStopped()) {
                builder.add(new Effect.Log(Decision.of(
                        "rollout",
                        "found bad",
                        Input.of("service", entry.getKey()),
                        Input.of("target", known.plan().get().target()),
                        Input.of("tally", view.tally()))));
            }
            final Rollout seen = known.with(view, known.duty());
            final Optional<RolloutPlan.Stage> due =
                    RolloutDecision.next(RolloutDuty.situation(board, entry.getKey(), seen, now));
            final Duty duty = seen.duty().withStage(due, now);
            final boolean writes = due.isPresent() && RolloutDuty.mayWrite(board, duty, now);
            if (writes) {
                final RolloutPlan plan = RolloutDuty.plan(board, seen, due.get());
                builder.add(new Effect.WriteRolloutPlan(plan, StoreEras.expected(board, seen.revision())));
                builder.add(new Effect.Log(Decision.of(
                        "rollout",
                        "writing " + plan.stage(),
                        Input.of("service", plan.service()),
                        Input.of("target", plan.target()),
                        Input.of("verdict", view.judgement().verdict()),
                        Input.of("tally", plan.tally()),
                        Input.of(
                                "elapsed_ms",
                                Duration.between(known.startedAt(), now).toMillis()))));
            }
            section = section.with(
                    entry.getKey(),
                    seen.with(view, new Duty(duty.stage(), duty.since(), duty.writing() || writes, duty.retryAt())));
        }
        return scheduleCheck(section, builder, now);
    }
}
