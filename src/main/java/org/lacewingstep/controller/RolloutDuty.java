package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.RegistrySection.Entry;
import org.lacewingstep.blackboard.RolloutSection.Duty;
import org.lacewingstep.blackboard.RolloutSection.Rollout;
import org.lacewingstep.blackboard.UpstreamLoadSection.PeerLoad;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RolloutOrder;
import org.lacewingstep.domain.RolloutPlan;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.VersionName;
import org.lacewingstep.rollout.RolloutDecision.Situation;

/**
 * Decides which instance writes the next stage of a rollout.
 *
 * <p>All instances decide alike what is due. They rank, and each one waits for those before it; so an instance that is
 * dead, suspended or cut off from the store is replaced without a lease. The store takes one write of a revision only.
 */
final class RolloutDuty {
    /** Time that an instance leaves to each one that ranks before it. */
    private static final Duration TURN = Duration.ofMillis(1500);

    /** Number of instances that take their turn; more would meet the same fault. */
    private static final int MAX_TURNS = 6;

    private RolloutDuty() {}

    /**
     * Collects what this instance knows of a rollout.
     *
     * @param board the blackboard, not null
     * @param service the service, not null
     * @param rollout the rollout, not null
     * @param now the present time, not null
     * @return the situation, never null
     */
    static Situation situation(
            final Blackboard board, final ServiceName service, final Rollout rollout, final Instant now) {
        final VersionName target = rollout.plan()
                .map(RolloutPlan::target)
                .or(() -> rollout.order().map(RolloutOrder::target))
                .orElse(VersionName.UNNAMED);
        final List<RegisteredUpstream> others = rollout.isRunning()
                ? board.serving().registry().upstreams().values().stream()
                        .map(Entry::upstream)
                        .filter(upstream -> upstream.service().equals(service)
                                && !upstream.version().equals(target))
                        .toList()
                : List.of();
        return new Situation(
                rollout.order(),
                rollout.plan(),
                rollout.view().judgement().verdict(),
                rollout.view().judgement().hasGoodAnswers(),
                rollout.view().targetPresent(),
                !others.isEmpty(),
                Duration.between(rollout.view().othersSeenAt(), now),
                others.stream()
                        .mapToLong(upstream ->
                                board.serving().use(upstream.name(), now).requests())
                        .sum(),
                Duration.between(rollout.startedAt(), now),
                Duration.between(rollout.stageSince(), now));
    }

    /**
     * Returns whether it is this instance's turn to write the stage that is due.
     *
     * @param board the blackboard, not null
     * @param duty the stage that is due, not null
     * @param now the present time, not null
     * @return true if this instance should write
     */
    static boolean mayWrite(final Blackboard board, final Duty duty, final Instant now) {
        if (duty.writing()
                || duty.retryAt().isAfter(now)
                || !board.lifecycle().isReady()
                || board.serving().registry().revision().isEmpty()) {
            return false;
        }
        final int rank = rank(board, now);
        return rank < MAX_TURNS && !duty.since().plus(TURN.multipliedBy(rank)).isAfter(now);
    }

    /** Ranks this instance among those in touch, relays first, since they know the store's changes earlier. */
    private static int rank(final Blackboard board, final Instant now) {
        final InstanceName self = board.identity().member().name();
        final Set<InstanceName> relays = relays(board);
        return board.serving().site().present().values().stream()
                        .map(Member::name)
                        .filter(name -> name.equals(self) || isInTouch(board, name, now))
                        .sorted(Comparator.comparing((InstanceName name) -> !relays.contains(name))
                                .thenComparing(InstanceName::value))
                        .toList()
                        .indexOf(self)
                & Integer.MAX_VALUE;
    }

    private static Set<InstanceName> relays(final Blackboard board) {
        final Set<InstanceName> relays = new HashSet<>();
        if (board.serving().site().isRelayed()) {
            board.serving().site().present().values().stream()
                    .map(Member::failureDomain)
                    .distinct()
                    .forEach(domain -> relays.add(
                            RelayPolicy.ranking(board, domain).getFirst().name()));
        }
        return relays;
    }

    private static boolean isInTouch(final Blackboard board, final InstanceName name, final Instant now) {
        final PeerLoad report = board.serving().loads().peers().get(name);
        return report != null
                && report.at().plus(board.serving().site().peerTimeout()).isAfter(now);
    }

    /**
     * Creates the plan of the next stage.
     *
     * @param board the blackboard, not null
     * @param rollout the rollout, not null
     * @param stage the next stage, not null
     * @return the plan, never null
     */
    static RolloutPlan plan(final Blackboard board, final Rollout rollout, final RolloutPlan.Stage stage) {
        final InstanceName self = board.identity().member().name();
        if (stage != RolloutPlan.Stage.PROBING) {
            return rollout.plan().orElseThrow().with(stage, rollout.view().tally(), self);
        }
        final RolloutOrder order = rollout.order().orElseThrow();
        return new RolloutPlan(
                order.service(),
                order.target(),
                order.revision(),
                stage,
                rollout.startedAt(),
                RolloutPlan.Tally.NONE,
                self);
    }
}
