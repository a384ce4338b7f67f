package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.common.hash.Hashing;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallSection.Call;
import org.lacewingstep.blackboard.CallSection.CallPhase;
import org.lacewingstep.blackboard.RegistrySection.Entry;
import org.lacewingstep.blackboard.RolloutSection;
import org.lacewingstep.blackboard.RolloutSection.Rollout;
import org.lacewingstep.blackboard.RolloutSection.View;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RolloutBounds;
import org.lacewingstep.domain.RolloutOrder;
import org.lacewingstep.domain.RolloutPlan;
import org.lacewingstep.domain.RolloutPlan.Stage;
import org.lacewingstep.domain.RolloutPlan.Tally;
import org.lacewingstep.domain.RouteKind;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.VersionName;
import org.lacewingstep.rollout.ExposureShare;
import org.lacewingstep.rollout.RolloutDecision;
import org.lacewingstep.rollout.VersionEvidence;
import org.lacewingstep.rollout.VersionJudgement;

/** Decides which versions a call may be sent to, by the plans of the rollouts. */
final class RolloutRouting {
    /** Fewest upstreams that receive the requests before the judgement, so that one bad upstream does not decide. */
    private static final int MIN_PROBED = 3;

    /** Fraction of the latency target after which a call no longer waits for the version that it was drawn for. */
    private static final double WAIT_FRACTION = 0.2;

    /** Time after all requests were moved in which a call that finds no capacity may still go to another version. */
    private static final Duration RETURN_PERIOD = Duration.ofMillis(1500);

    private RolloutRouting() {}

    /**
     * Returns whether the rollouts permit to send a call to an upstream.
     *
     * @param board the blackboard, not null
     * @param call the call, not null
     * @param upstream the upstream, not null
     * @param now the present time, not null
     * @return true if the upstream's version may receive the call
     */
    static boolean permits(
            final Blackboard board, final Call call, final RegisteredUpstream upstream, final Instant now) {
        final RolloutSection section = board.serving().rollouts();
        final Rollout rollout = section.rollouts().get(upstream.service());
        if (rollout == null) {
            return mayServe(board, upstream);
        }
        final Optional<VersionName> bound = boundVersion(board, call, upstream.role());
        if (bound.isPresent()) {
            return bound.get().equals(upstream.version()) && !isWithheld(rollout, upstream.version());
        }
        if (isAwaited(rollout, upstream.version())) {
            return isEstablished(section, upstream);
        }
        return rollout.plan()
                .map(plan -> permits(board, call, upstream, rollout, plan, now))
                .orElseGet(() -> mayServe(board, upstream));
    }

    private static boolean permits(
            final Blackboard board,
            final Call call,
            final RegisteredUpstream upstream,
            final Rollout rollout,
            final RolloutPlan plan,
            final Instant now) {
        final boolean target = upstream.version().equals(plan.target());
        if (target && isEstablished(board.serving().rollouts(), upstream)) {
            return true;
        }
        return switch (plan.stage()) {
            case PROBING -> {
                final boolean drawn = isDrawn(board, call, rollout, plan, now);
                yield target
                        ? drawn && rollout.view().probed().contains(upstream.name())
                        : (!drawn || hasWaited(call, now)) && mayServe(board, upstream);
            }
            case SHIFTING ->
                target ? !rollout.view().isStopped() : mayReturn(call, rollout, now) && mayServe(board, upstream);
            case SUCCEEDED -> target || mayServe(board, upstream);
            case ROLLED_BACK -> !target && mayServe(board, upstream);
        };
    }

    /** Returns whether a version is ordered but has no plan yet, so that nothing may be sent to it. */
    private static boolean isAwaited(final Rollout rollout, final VersionName version) {
        return rollout.order()
                .filter(order -> order.target().equals(version)
                        && rollout.plan()
                                .filter(plan -> RolloutDecision.carriesOut(plan, order))
                                .isEmpty())
                .isPresent();
    }

    /** Returns whether a version was found bad, so that a stream that it has begun is not continued there either. */
    private static boolean isWithheld(final Rollout rollout, final VersionName version) {
        return rollout.plan()
                .filter(plan -> plan.target().equals(version)
                        && (plan.stage() == Stage.ROLLED_BACK
                                || plan.stage() != Stage.SUCCEEDED
                                        && rollout.view().isStopped()))
                .isPresent();
    }

    /** Returns whether an upstream serves without an order: also one of another version, if no other is left. */
    private static boolean mayServe(final Blackboard board, final RegisteredUpstream upstream) {
        return isEstablished(board.serving().rollouts(), upstream)
                || !isAnyEstablishedPresent(board, upstream.service());
    }

    private static boolean isEstablished(final RolloutSection section, final RegisteredUpstream upstream) {
        final Set<VersionName> versions = section.established().get(upstream.service());
        return versions == null || versions.contains(upstream.version());
    }

    private static boolean isAnyEstablishedPresent(final Blackboard board, final ServiceName service) {
        return board.serving().registry().upstreams().values().stream()
                .anyMatch(entry -> entry.upstream().service().equals(service)
                        && isPresent(entry)
                        && isEstablished(board.serving().rollouts(), entry.upstream()));
    }

    private static boolean isPresent(final Entry entry) {
        return entry.missingSince().isEmpty() && !entry.upstream().draining();
    }

    /**
     * Finds the version that a call is bound to: that of the upstream which generates the response, for a prompt, and
     * that which has begun the response, for a stream.
     */
    private static Optional<VersionName> boundVersion(
            final Blackboard board, final Call call, final UpstreamRole role) {
        final boolean stream = call.route().kind() instanceof RouteKind.EventStream;
        return switch (call.phase()) {
            case CallPhase.Sent(int attempt, UpstreamName responding, var prefill)
            when stream || role == UpstreamRole.PREFILL ->
                UpstreamChoice.findRegistered(board, responding).map(RegisteredUpstream::version);
            default ->
                Optional.ofNullable(
                        board.serving().rollouts().begun().get(call.parameters().request()));
        };
    }

    /**
     * Draws whether a call goes to the version that is not judged yet. Each arrival is drawn anew, and a call that the
     * version has had is not drawn again, so repeated requests do not raise the share.
     */
    private static boolean isDrawn(
            final Blackboard board, final Call call, final Rollout rollout, final RolloutPlan plan, final Instant now) {
        if (rollout.view().isStopped()
                || rollout.view().probed().isEmpty()
                || rollout.order().isEmpty()
                || !hasNews(board, now)
                || hasTried(board, call, plan.target())) {
            return false;
        }
        final int hash = Hashing.murmur3_32()
                .newHasher()
                .putUnencodedChars(call.parameters().request().value())
                .putUnencodedChars(board.identity().member().name().value())
                .putLong(call.parameters().receivedAt().toEpochMilli())
                .putLong(plan.order())
                .hash()
                .asInt();
        return (hash & Integer.MAX_VALUE) / (double) Integer.MAX_VALUE
                < rollout.view().share();
    }

    private static boolean hasTried(final Blackboard board, final Call call, final VersionName version) {
        return call.tried().stream().anyMatch(name -> UpstreamChoice.findRegistered(board, name)
                .filter(upstream -> upstream.version().equals(version))
                .isPresent());
    }

    /** Returns whether this instance knows the plan well enough to send something to a version before its judgement. */
    private static boolean hasNews(final Blackboard board, final Instant now) {
        final Instant own = board.serving().rollouts().newsAt();
        final Instant relayed = board.serving().relay().answeredAt();
        final Instant latest = board.serving().site().isRelayed() && relayed.isAfter(own) && !own.equals(Instant.EPOCH)
                ? relayed
                : own;
        final Duration limit = bounds(board).stopLimit().dividedBy(2);
        return latest.plus(limit).isAfter(now);
    }

    private static boolean hasWaited(final Call call, final Instant now) {
        final Duration waited = Duration.between(call.parameters().receivedAt(), now);
        return waited.toNanos() > call.route().latencyTarget().toNanos() * WAIT_FRACTION;
    }

    /** Returns whether a call may go to another version although all requests have been moved. */
    private static boolean mayReturn(final Call call, final Rollout rollout, final Instant now) {
        return rollout.view().isStopped()
                || !rollout.view().targetPresent()
                || hasWaited(call, now)
                        && rollout.stageSince().plus(RETURN_PERIOD).isAfter(now);
    }

    /**
     * Derives from the plan and the counts of all instances what this instance sends to the version.
     *
     * @param board the blackboard, not null
     * @param rollout the rollout, with a plan, not null
     * @param now the present time, not null
     * @return the view, never null
     */
    static View view(final Blackboard board, final Rollout rollout, final Instant now) {
        final RolloutPlan plan = rollout.plan().orElseThrow();
        final boolean probing = plan.stage() == Stage.PROBING;
        final VersionEvidence evidence =
                VersionEvidence.compare(board.serving().rollouts().answersFor(plan.service()), plan.target(), probing);
        final VersionJudgement judgement = rollout.view().judgement().next(evidence, probing);
        final Tally tally = evidence.tally().max(plan.tally());
        final Duration limit = rollout.order().map(RolloutOrder::limit).orElse(Duration.ZERO);
        final double share = ExposureShare.of(bounds(board), tally, Duration.between(rollout.startedAt(), now), limit);
        final List<RegisteredUpstream> targets = board.serving().registry().upstreams().values().stream()
                .filter(entry -> isPresent(entry)
                        && entry.upstream().service().equals(plan.service())
                        && entry.upstream().version().equals(plan.target()))
                .map(Entry::upstream)
                .toList();
        final boolean othersPresent = board.serving().registry().upstreams().values().stream()
                .map(Entry::upstream)
                .anyMatch(upstream -> upstream.service().equals(plan.service())
                        && !upstream.version().equals(plan.target()));
        final Instant othersSeenAt = rollout.view().othersSeenAt();
        return new View(
                share,
                probed(targets, plan.order(), Math.max(share, bounds(board).share())),
                targets.stream().anyMatch(upstream -> upstream.role() != UpstreamRole.PREFILL),
                othersPresent || othersSeenAt.equals(Instant.EPOCH) ? now : othersSeenAt,
                judgement,
                tally);
    }

    /**
     * Selects the upstreams that receive the requests before the judgement, so few that each has as much load as it
     * will have afterwards.
     */
    private static Set<UpstreamName> probed(
            final List<RegisteredUpstream> targets, final long order, final double share) {
        final Set<UpstreamName> probed = new HashSet<>();
        for (final UpstreamRole role : UpstreamRole.values()) {
            final List<RegisteredUpstream> members =
                    targets.stream().filter(upstream -> upstream.role() == role).toList();
            members.stream()
                    .sorted(Comparator.comparingInt((RegisteredUpstream upstream) -> Hashing.murmur3_32()
                                    .newHasher()
                                    .putUnencodedChars(upstream.name().value())
                                    .putLong(order)
                                    .hash()
                                    .asInt())
                            .thenComparing(upstream -> upstream.name().value()))
                    .limit(Math.max(MIN_PROBED, (long) Math.ceil(share * members.size())))
                    .forEach(upstream -> probed.add(upstream.name()));
        }
        return probed;
    }

    /**
     * Lists the versions that orders and plans of a service name, which do not serve without them.
     *
     * @param rollout the rollout, not null
     * @return the versions, never null
     */
    static Set<VersionName> targets(final Rollout rollout) {
        final Set<VersionName> targets = new HashSet<>();
        rollout.order().ifPresent(order -> targets.add(order.target()));
        rollout.plan().filter(plan -> plan.stage() != Stage.SUCCEEDED).ifPresent(plan -> targets.add(plan.target()));
        return targets;
    }

    /**
     * Lists the versions of a service whose rollout is ordered or runs and has not ended.
     *
     * @param rollout the rollout, not null
     * @return the versions, never null
     */
    static Set<VersionName> unfinished(final Rollout rollout) {
        final Set<VersionName> unfinished = new HashSet<>();
        rollout.plan().filter(plan -> !plan.stage().isFinal()).ifPresent(plan -> unfinished.add(plan.target()));
        rollout.order()
                .filter(order -> isAwaited(rollout, order.target()))
                .ifPresent(order -> unfinished.add(order.target()));
        return unfinished;
    }

    private static RolloutBounds bounds(final Blackboard board) {
        return board.serving().site().bounds().rollout();
    }
}
