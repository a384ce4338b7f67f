package org.lacewingstep.blackboard;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.lacewingstep.domain.AnswerCounts;
import org.lacewingstep.domain.AnswerGroup;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.RolloutOrder;
import org.lacewingstep.domain.RolloutPlan;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.VersionName;
import org.lacewingstep.rollout.VersionJudgement;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The rollouts that are ordered or have ended, the versions that serve without an order, and what the instances have
 * counted of the responses.
 *
 * @param rollouts the rollout of each service that has or had an order, not null
 * @param established the versions of each service that receive requests without an order, not null
 * @param answers the counts of each process, this one included, not null
 * @param sent the running attempts that are counted when they end, not null
 * @param begun the version that has begun the response to a broken stream, not null
 * @param newsAt when this instance last knew the content of the store, not null
 */
public record RolloutSection(
        PMap<ServiceName, Rollout> rollouts,
        PMap<ServiceName, PSet<VersionName>> established,
        PMap<Incarnation, PMap<AnswerGroup, AnswerCounts>> answers,
        PMap<RequestIdentifier, SentCall> sent,
        PMap<RequestIdentifier, VersionName> begun,
        Instant newsAt)
        implements ServingSection {
    /** The initial section of a process. */
    public static final RolloutSection INITIAL = new RolloutSection(
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            Instant.EPOCH);

    /**
     * An attempt whose result is counted.
     *
     * @param attempt the number of the attempt, from one
     * @param group where the result is counted, not null
     * @param sentAt when the attempt was sent, not null
     */
    public record SentCall(int attempt, AnswerGroup group, Instant sentAt) {}

    /**
     * What this instance knows of one rollout.
     *
     * @param order the order in the store, empty if it was removed
     * @param startedAt when the order was given, as far as this instance knows, not null
     * @param plan the plan in the store, empty for none
     * @param revision the store's revision of the plan, with the number zero for none, not null
     * @param stageSince when this instance first saw the stage, not null
     * @param view what this instance derives from the plan and the counts, not null
     * @param duty the next stage that is due and the attempt to write it, not null
     */
    public record Rollout(
            Optional<RolloutOrder> order,
            Instant startedAt,
            Optional<RolloutPlan> plan,
            StoreRevision revision,
            Instant stageSince,
            View view,
            Duty duty) {
        /** A service without order and plan. */
        public static final Rollout NONE = new Rollout(
                Optional.empty(),
                Instant.EPOCH,
                Optional.empty(),
                StoreRevision.NONE,
                Instant.EPOCH,
                View.INITIAL,
                Duty.NONE);

        /**
         * Copies this rollout with another order.
         *
         * @param next the order, empty if it was removed, not null
         * @param since when the order was given, not null
         * @return the copy, never null
         */
        public Rollout withOrder(final Optional<RolloutOrder> next, final Instant since) {
            return new Rollout(next, since, plan, revision, stageSince, view, duty);
        }

        /**
         * Copies this rollout with another plan.
         *
         * @param next the plan, not null
         * @param nextRevision the store's revision of the plan
         * @param since when this instance first saw the stage, not null
         * @param nextView what this instance derives from the plan, not null
         * @return the copy, never null
         */
        public Rollout withPlan(
                final RolloutPlan next, final StoreRevision nextRevision, final Instant since, final View nextView) {
            return new Rollout(order, startedAt, Optional.of(next), nextRevision, since, nextView, duty);
        }

        /**
         * Copies this rollout with another view and duty.
         *
         * @param nextView what this instance derives from the plan and the counts, not null
         * @param nextDuty the next stage that is due, not null
         * @return the copy, never null
         */
        public Rollout with(final View nextView, final Duty nextDuty) {
            return new Rollout(order, startedAt, plan, revision, stageSince, nextView, nextDuty);
        }

        /**
         * Returns whether responses are counted for this rollout.
         *
         * @return true if there is a plan that has not ended
         */
        public boolean isRunning() {
            return plan.filter(known -> !known.stage().isFinal()).isPresent();
        }
    }

    /**
     * What an instance derives from the plan and the counts of all instances.
     *
     * @param share the share of the requests that this instance sends to the version before it is judged
     * @param probed the upstreams of the version that receive these requests, not null
     * @param targetPresent whether upstreams of the version accept requests
     * @param othersSeenAt when upstreams of other versions were last registered, the time of the first check if none
     *     were, not null
     * @param judgement the judgement on the version, not null
     * @param tally the requests to the service, not null
     */
    public record View(
            double share,
            Set<UpstreamName> probed,
            boolean targetPresent,
            Instant othersSeenAt,
            VersionJudgement judgement,
            RolloutPlan.Tally tally) {
        /** The view before the first check. */
        public static final View INITIAL =
                new View(0, Set.of(), false, Instant.EPOCH, VersionJudgement.INITIAL, RolloutPlan.Tally.NONE);

        /** Copies the set. */
        public View {
            probed = Set.copyOf(probed);
        }

        /**
         * Returns whether this instance has stopped by itself, before the plan says so.
         *
         * @return true if the version is known to be bad
         */
        public boolean isStopped() {
            return judgement.verdict() == VersionJudgement.Verdict.BAD;
        }
    }

    /**
     * The next stage that is due and the attempt to write it.
     *
     * @param stage the stage, empty if none is due
     * @param since since when the stage is due, not null
     * @param writing whether this instance is writing a plan
     * @param retryAt when this instance may write again, not null
     */
    public record Duty(Optional<RolloutPlan.Stage> stage, Instant since, boolean writing, Instant retryAt) {
        /** Nothing is due. */
        public static final Duty NONE = new Duty(Optional.empty(), Instant.EPOCH, false, Instant.EPOCH);

        /**
         * Copies this duty for the stage that is due now.
         *
         * @param next the stage, empty if none is due
         * @param now the present time, not null
         * @return the copy, never null
         */
        public Duty withStage(final Optional<RolloutPlan.Stage> next, final Instant now) {
            return next.equals(stage) ? this : new Duty(next, now, writing, retryAt);
        }
    }

    /**
     * Returns the rollout of a service.
     *
     * @param service the service, not null
     * @return the rollout, never null
     */
    public Rollout of(final ServiceName service) {
        return rollouts.getOrDefault(service, Rollout.NONE);
    }

    /**
     * Copies this section with one rollout replaced.
     *
     * @param service the service, not null
     * @param rollout the rollout, not null
     * @return the copy, never null
     */
    public RolloutSection with(final ServiceName service, final Rollout rollout) {
        return new RolloutSection(rollouts.plus(service, rollout), established, answers, sent, begun, newsAt);
    }

    /**
     * Copies this section with other established versions.
     *
     * @param next the versions, not null
     * @return the copy, never null
     */
    public RolloutSection withEstablished(final PMap<ServiceName, PSet<VersionName>> next) {
        return new RolloutSection(rollouts, next, answers, sent, begun, newsAt);
    }

    /**
     * Copies this section with other counts.
     *
     * @param next the counts, not null
     * @return the copy, never null
     */
    public RolloutSection withAnswers(final PMap<Incarnation, PMap<AnswerGroup, AnswerCounts>> next) {
        return new RolloutSection(rollouts, established, next, sent, begun, newsAt);
    }

    /**
     * Copies this section with other attempts.
     *
     * @param nextSent the running attempts, not null
     * @param nextBegun the version that has begun each response, not null
     * @return the copy, never null
     */
    public RolloutSection withCalls(
            final PMap<RequestIdentifier, SentCall> nextSent, final PMap<RequestIdentifier, VersionName> nextBegun) {
        return new RolloutSection(rollouts, established, answers, nextSent, nextBegun, newsAt);
    }

    /**
     * Copies this section with the time of the last news.
     *
     * @param at when this instance last knew the content of the store, not null
     * @return the copy, never null
     */
    public RolloutSection withNews(final Instant at) {
        return new RolloutSection(rollouts, established, answers, sent, begun, at);
    }

    /**
     * Returns the counts of one process.
     *
     * @param process the process, not null
     * @return the counts, never null
     */
    public PMap<AnswerGroup, AnswerCounts> answersOf(final Incarnation process) {
        return answers.getOrDefault(process, HashTreePMap.empty());
    }

    /**
     * Lists the counts of all processes for one rollout.
     *
     * @param service the service, not null
     * @return the counts of each process, never null
     */
    public Collection<Map<AnswerGroup, AnswerCounts>> answersFor(final ServiceName service) {
        return answers.values().stream()
                .map(counts -> {
                    final Map<AnswerGroup, AnswerCounts> selected = new HashMap<>(counts);
                    selected.keySet().removeIf(group -> !group.service().equals(service));
                    return selected;
                })
                .filter(counts -> !counts.isEmpty())
                .<Map<AnswerGroup, AnswerCounts>>map(counts -> counts)
                .toList();
    }
}
