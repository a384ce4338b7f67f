package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

import com.google.common.hash.Hashing;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.CallResult;
import org.lacewingstep.blackboard.RolloutOccurrence;
import org.lacewingstep.blackboard.RolloutSection;
import org.lacewingstep.blackboard.RolloutSection.Rollout;
import org.lacewingstep.blackboard.RolloutSection.SentCall;
import org.lacewingstep.domain.AnswerCounts;
import org.lacewingstep.domain.AnswerGroup;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.RolloutPlan;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.VersionName;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** Counts the responses of all versions of a service while a rollout runs. */
final class RolloutCounting {
    /** Parts into which the upstreams of a version are divided, to tell a bad upstream from a bad version. */
    private static final int PARTS = 8;

    private static final int SERVER_ERROR = 500;

    private RolloutCounting() {}

    /**
     * Counts an attempt that is sent. An earlier attempt of the call that has not ended was given up and has failed.
     *
     * @param board the blackboard, not null
     * @param sent the attempt, not null
     * @param now the present time, not null
     * @return the section with the attempt, never null
     */
    static RolloutSection withSent(
            final Blackboard board, final RolloutOccurrence.AttemptSent sent, final Instant now) {
        final RegisteredUpstream upstream = sent.upstream();
        final RolloutSection section = board.serving().rollouts();
        final Rollout rollout = section.rollouts().get(upstream.service());
        if (rollout == null || !rollout.isRunning()) {
            return section;
        }
        final AnswerGroup group = new AnswerGroup(
                upstream.service(),
                rollout.plan().get().order(),
                upstream.version(),
                sent.route(),
                part(upstream.name()));
        final SentCall replaced = section.sent().get(sent.request());
        final RolloutSection known = replaced == null
                ? section
                : withCount(
                        board,
                        section,
                        replaced.group(),
                        count(section, board, replaced.group()).plusFailed());
        return withCount(board, known, group, count(known, board, group).plusSent())
                .withCalls(known.sent().plus(sent.request(), new SentCall(sent.attempt(), group, now)), known.begun());
    }

    /**
     * Counts the result of an attempt, and keeps the version that has begun a response which another upstream is to
     * continue.
     *
     * @param board the blackboard, not null
     * @param request the identifier of the call, not null
     * @param attempt the number of the attempt, from one
     * @param result the result, not null
     * @param now the present time, not null
     * @return the section with the result, never null
     */
    static RolloutSection withEnded(
            final Blackboard board,
            final RequestIdentifier request,
            final int attempt,
            final CallResult result,
            final Instant now) {
        final RolloutSection section = board.serving().rollouts();
        final SentCall call = section.sent().get(request);
        if (call == null || call.attempt() != attempt) {
            return section;
        }
        final AnswerCounts known = count(section, board, call.group());
        final AnswerCounts counted =
                switch (result) {
                    case CallResult.Served() -> known.plusServed(Duration.between(call.sentAt(), now));
                    case CallResult.FailedByUpstream(int status) ->
                        status < SERVER_ERROR
                                ? known.plusServed(Duration.between(call.sentAt(), now))
                                : known.plusFailed();
                    // A request that was not run says that the upstream is full or gone, not that its version is bad.
                    case CallResult.NotRun notRun -> known;
                    case CallResult.Broken broken -> known.plusFailed();
                };
        final boolean begun =
                result instanceof CallResult.Broken(boolean silent, boolean started, var progress) && started;
        final PMap<RequestIdentifier, VersionName> versions =
                begun ? section.begun().plus(request, call.group().version()) : section.begun();
        return withCount(board, section, call.group(), counted)
                .withCalls(section.sent().minus(request), versions);
    }

    /**
     * Takes over the counts of another process; counts of an older report change nothing.
     *
     * @param section the section, not null
     * @param origin the process, not null
     * @param reported the counts, not null
     * @return the section with the counts, never null
     */
    static RolloutSection withReport(
            final RolloutSection section, final Incarnation origin, final Map<AnswerGroup, AnswerCounts> reported) {
        PMap<AnswerGroup, AnswerCounts> counts = section.answersOf(origin);
        for (final Map.Entry<AnswerGroup, AnswerCounts> entry : reported.entrySet()) {
            final AnswerGroup group = entry.getKey();
            final Rollout rollout = section.of(group.service());
            if (rollout.isRunning() && rollout.plan().get().order() == group.order()) {
                counts = counts.plus(
                        group, counts.getOrDefault(group, AnswerCounts.NONE).latest(entry.getValue()));
            }
        }
        return counts.isEmpty()
                ? section
                : section.withAnswers(section.answers().plus(origin, counts));
    }

    /**
     * Drops the counts of other rollouts of a service than the one of a plan.
     *
     * @param section the section, not null
     * @param plan the plan, not null
     * @return the section without these counts, never null
     */
    static RolloutSection withoutOthers(final RolloutSection section, final RolloutPlan plan) {
        PMap<Incarnation, PMap<AnswerGroup, AnswerCounts>> answers = section.answers();
        for (final Map.Entry<Incarnation, PMap<AnswerGroup, AnswerCounts>> process :
                section.answers().entrySet()) {
            PMap<AnswerGroup, AnswerCounts> counts = process.getValue();
            for (final AnswerGroup group : process.getValue().keySet()) {
                if (group.service().equals(plan.service())
                        && (group.order() != plan.order() || plan.stage().isFinal())) {
                    counts = counts.minus(group);
                }
            }
            answers = counts.isEmpty() ? answers.minus(process.getKey()) : answers.plus(process.getKey(), counts);
        }
        return section.withAnswers(answers);
    }

    /**
     * Drops calls that have ended without a result.
     *
     * @param board the blackboard, not null
     * @return the section without these calls, never null
     */
    static RolloutSection withoutEndedCalls(final Blackboard board) {
        final RolloutSection section = board.serving().rollouts();
        final PMap<RequestIdentifier, ?> open = board.serving().calls().calls();
        PMap<RequestIdentifier, SentCall> sent = section.sent();
        for (final RequestIdentifier request : section.sent().keySet()) {
            sent = open.containsKey(request) ? sent : sent.minus(request);
        }
        PMap<RequestIdentifier, VersionName> begun = section.begun();
        for (final RequestIdentifier request : section.begun().keySet()) {
            begun = open.containsKey(request) ? begun : begun.minus(request);
        }
        return section.withCalls(sent, begun);
    }

    /**
     * Lists the counts of this process, which it reports to the other instances.
     *
     * @param board the blackboard, not null
     * @return the counts, never null
     */
    static Map<AnswerGroup, AnswerCounts> reported(final Blackboard board) {
        return board.serving().rollouts().answersOf(board.identity().incarnation());
    }

    private static int part(final UpstreamName upstream) {
        return Math.floorMod(
                Hashing.murmur3_32().hashUnencodedChars(upstream.value()).asInt(), PARTS);
    }

    private static AnswerCounts count(final RolloutSection section, final Blackboard board, final AnswerGroup group) {
        return section.answersOf(board.identity().incarnation()).getOrDefault(group, AnswerCounts.NONE);
    }

    private static RolloutSection withCount(
            final Blackboard board, final RolloutSection section, final AnswerGroup group, final AnswerCounts counts) {
        final Incarnation self = board.identity().incarnation();
        final Rollout rollout = section.of(group.service());
        if (!rollout.isRunning() || rollout.plan().get().order() != group.order()) {
            return section;
        }
        final PMap<AnswerGroup, AnswerCounts> own = section.answers().getOrDefault(self, HashTreePMap.empty());
        return section.withAnswers(section.answers().plus(self, own.plus(group, counts)));
    }
}
