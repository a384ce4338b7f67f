package org.lacewingstep.rollout;

import java.time.Duration;
import java.util.Optional;

import org.lacewingstep.domain.RolloutOrder;
import org.lacewingstep.domain.RolloutPlan;
import org.lacewingstep.domain.RolloutPlan.Stage;
import org.lacewingstep.rollout.VersionJudgement.Verdict;

/** Decides which stage of a rollout comes next. */
public final class RolloutDecision {
    /** Time before the end of the limit at which the result is written at the latest. */
    private static final Duration RESULT_RESERVE = Duration.ofMillis(1500);

    /** Shortest and longest time kept for the move of all requests and the end of the calls at other versions. */
    private static final Duration MIN_SHIFT_RESERVE = Duration.ofMillis(4500);

    private static final Duration MAX_SHIFT_RESERVE = Duration.ofSeconds(8);

    /** Part of the limit that is kept for the move. */
    private static final int SHIFT_DIVISOR = 3;

    /** Time until all instances know a stage, over relays also. */
    private static final Duration PROPAGATION = Duration.ofMillis(2500);

    /** Shortest time for which all requests go to the version before the others stop. */
    private static final Duration MIN_SHIFT = Duration.ofMillis(1500);

    /** Time without upstreams of other versions after which they are taken to be gone for good. */
    private static final Duration OTHERS_ABSENCE = Duration.ofSeconds(4);

    private RolloutDecision() {}

    /**
     * What an instance knows of a rollout.
     *
     * @param order the order in the store, empty for none
     * @param plan the plan in the store, empty for none
     * @param verdict the verdict on the version, not null
     * @param answered whether the version has given a good response
     * @param targetPresent whether upstreams of the version accept requests
     * @param othersPresent whether upstreams of other versions are registered
     * @param withoutOthers the time since upstreams of other versions were last registered, not null
     * @param runningElsewhere number of running calls at other versions
     * @param elapsed the time since the order, not null
     * @param inStage the time since the plan has its stage, not null
     */
    public record Situation(
            Optional<RolloutOrder> order,
            Optional<RolloutPlan> plan,
            Verdict verdict,
            boolean answered,
            boolean targetPresent,
            boolean othersPresent,
            Duration withoutOthers,
            long runningElsewhere,
            Duration elapsed,
            Duration inStage) {}

    /**
     * Returns whether a plan carries out an order. An order that is written again unchanged while its rollout runs or
     * after it has succeeded is the same order.
     *
     * @param plan the plan, not null
     * @param order the order, not null
     * @return true if no other plan is needed
     */
    public static boolean carriesOut(final RolloutPlan plan, final RolloutOrder order) {
        return plan.order() >= order.revision()
                || plan.target().equals(order.target()) && plan.stage() != Stage.ROLLED_BACK;
    }

    /**
     * Decides on the next stage.
     *
     * @param known what this instance knows, not null
     * @return the stage, empty if the rollout stays as it is
     */
    public static Optional<Stage> next(final Situation known) {
        if (known.order().isPresent()
                && known.plan()
                        .filter(plan -> carriesOut(plan, known.order().get()))
                        .isEmpty()) {
            return Optional.of(Stage.PROBING);
        }
        return known.plan().flatMap(plan -> switch (plan.stage()) {
            case PROBING -> afterProbing(known);
            case SHIFTING -> afterShifting(known);
            case SUCCEEDED, ROLLED_BACK -> Optional.empty();
        });
    }

    private static Optional<Stage> afterProbing(final Situation known) {
        if (known.order().isEmpty() || known.verdict() == Verdict.BAD) {
            return Optional.of(Stage.ROLLED_BACK);
        }
        final Duration remaining = remaining(known);
        final boolean alone = !known.othersPresent() && known.withoutOthers().compareTo(OTHERS_ABSENCE) >= 0;
        if (alone && known.targetPresent() && known.verdict() == Verdict.ACCEPTABLE) {
            return Optional.of(Stage.SHIFTING);
        }
        final Duration reserve = shiftReserve(known.order().get().limit());
        if (remaining.compareTo(RESULT_RESERVE) <= 0) {
            return Optional.of(Stage.ROLLED_BACK);
        }
        final boolean late = remaining.compareTo(reserve.dividedBy(2)) <= 0;
        final boolean accepted = known.verdict() == Verdict.ACCEPTABLE || late && known.answered();
        return known.targetPresent() && accepted && remaining.compareTo(reserve) <= 0
                ? Optional.of(Stage.SHIFTING)
                : Optional.empty();
    }

    private static Optional<Stage> afterShifting(final Situation known) {
        if (known.order().isEmpty()
                || known.verdict() == Verdict.BAD
                || !known.targetPresent() && known.othersPresent()) {
            return Optional.of(Stage.ROLLED_BACK);
        }
        final boolean idle = known.runningElsewhere() == 0 && known.inStage().compareTo(PROPAGATION) >= 0;
        final boolean due = remaining(known).compareTo(RESULT_RESERVE) <= 0
                && known.inStage().compareTo(MIN_SHIFT) >= 0;
        return idle || due ? Optional.of(Stage.SUCCEEDED) : Optional.empty();
    }

    private static Duration remaining(final Situation known) {
        return known.order().map(RolloutOrder::limit).orElse(Duration.ZERO).minus(known.elapsed());
    }

    /** Keeps a third of the limit for the move, within bounds, and never more than half. */
    private static Duration shiftReserve(final Duration limit) {
        final Duration third = limit.dividedBy(SHIFT_DIVISOR);
        final Duration least = third.compareTo(MIN_SHIFT_RESERVE) < 0 ? MIN_SHIFT_RESERVE : third;
        final Duration most = least.compareTo(MAX_SHIFT_RESERVE) > 0 ? MAX_SHIFT_RESERVE : least;
        final Duration half = limit.dividedBy(2);
        return most.compareTo(half) > 0 ? half : most;
    }
}
