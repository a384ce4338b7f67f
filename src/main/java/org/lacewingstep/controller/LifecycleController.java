package org.lacewingstep.controller;

import java.time.Duration;
import java.time.Instant;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.LifecycleSection;
import org.lacewingstep.blackboard.LifecycleSection.Stage;
import org.lacewingstep.blackboard.Outcome;
import org.lacewingstep.blackboard.TimerKey;

/** Decides when the process becomes ready, drains, leaves the roster and exits. */
public final class LifecycleController implements Controller<LifecycleSection> {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

    /** Time reserved before the forced kill at the shutdown limit, for two checks and for closing connections. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(1300);

    @Override
    public Class<LifecycleSection> section() {
        return LifecycleSection.class;
    }

    @Override
    public Outcome<LifecycleSection> step(final Blackboard board, final Event event, final Instant now) {
        return switch (event) {
            case Event.Started() -> check(board, board.lifecycle(), now);
            case Event.SiteConfigured configured -> check(board, board.lifecycle(), now);
            case Event.TimerFired(TimerKey.LifecycleCheck()) -> check(board, advance(board, now), now);
            case Event.ShutdownRequested() -> Outcome.of(drain(board, now));
            default -> Outcome.of(board.lifecycle());
        };
    }

    private static Outcome<LifecycleSection> check(
            final Blackboard board, final LifecycleSection section, final Instant now) {
        final OutcomeBuilder builder = new OutcomeBuilder();
        if (section.stage() instanceof Stage.Stopped) {
            if (!(board.lifecycle().stage() instanceof Stage.Stopped)) {
                builder.add(new Effect.StopProcess());
            }
            return builder.outcome(section);
        }
        builder.add(new Effect.StartTimer(new TimerKey.LifecycleCheck(), now.plus(CHECK_INTERVAL)));
        return builder.outcome(section);
    }

    private static LifecycleSection advance(final Blackboard board, final Instant now) {
        final Stage stage = board.lifecycle().stage();
        return switch (stage) {
            case Stage.Starting() ->
                isServing(board, now) ? new LifecycleSection(new Stage.Ready()) : board.lifecycle();
            case Stage.Ready() ->
                hasSitePolicy(board) && !isServing(board, now)
                        ? new LifecycleSection(new Stage.Starting())
                        : board.lifecycle();
            case Stage.Draining(Instant since) ->
                isDrained(board, since, now) ? new LifecycleSection(new Stage.Leaving(now)) : board.lifecycle();
            case Stage.Leaving(Instant since) ->
                hasLeft(board, since, now) ? new LifecycleSection(new Stage.Stopped()) : board.lifecycle();
            case Stage.Stopped() -> board.lifecycle();
        };
    }

    private static boolean hasSitePolicy(final Blackboard board) {
        return board.serving().site().policy().isPresent();
    }

    private static boolean isServing(final Blackboard board, final Instant now) {
        if (hasSitePolicy(board)) {
            return CallAdmission.isReady(board, now);
        }
        return board.configuration().confirmedAt().isPresent()
                && board.membership().roster().contains(board.identity().incarnation());
    }

    private static boolean isDrained(final Blackboard board, final Instant since, final Instant now) {
        final Instant earliest = since.plus(board.identity().policy().drainDelay());
        final boolean idle = board.requests().requests().isEmpty()
                && board.serving().calls().calls().isEmpty();
        return !now.isBefore(earliest) && (idle || isShutdownDue(board, since, now));
    }

    private static boolean isShutdownDue(final Blackboard board, final Instant since, final Instant now) {
        return board.serving()
                .site()
                .policy()
                .map(policy -> since.plus(policy.shutdownLimit()).minus(EXIT_MARGIN))
                .filter(latest -> !now.isBefore(latest))
                .isPresent();
    }

    private static boolean hasLeft(final Blackboard board, final Instant since, final Instant now) {
        final Instant latest = since.plus(board.identity().policy().leaseDuration());
        final boolean removed = hasSitePolicy(board)
                || !board.membership().roster().contains(board.identity().incarnation());
        return removed || now.isAfter(latest);
    }

    private static LifecycleSection drain(final Blackboard board, final Instant now) {
        return switch (board.lifecycle().stage()) {
            case Stage.Starting(), Stage.Ready() -> new LifecycleSection(new Stage.Draining(now));
            default -> board.lifecycle();
        };
    }
}
