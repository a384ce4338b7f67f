package org.lacewingstep.scenario;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Identity;
import org.lacewingstep.blackboard.Policy;
import org.lacewingstep.blackboard.Step;
import org.lacewingstep.control.TimerQueue;
import org.lacewingstep.controller.BlackboardStepper;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;

/** Runs the production controllers of one instance and has the fakes carry out their effects. */
final class VirtualInstance {
    /** Time between the permission to exit and the exit, in which the process still handles queued events. */
    private static final Duration EXIT_DELAY = Duration.ofSeconds(1);

    private final VirtualFleet fleet;
    private final Member member;
    private final List<Event> eventsWhilePaused = new ArrayList<>();
    private final TimerQueue timers = new TimerQueue();

    private boolean alive = true;
    private Blackboard board;
    private boolean paused;

    VirtualInstance(final VirtualFleet fleet, final Member member, final Policy policy) {
        this.fleet = fleet;
        this.member = member;
        this.board = Blackboard.initial(new Identity(member, policy));
    }

    Blackboard board() {
        return board;
    }

    void deliver(final Event event) {
        if (!alive) {
            return;
        }
        if (paused) {
            eventsWhilePaused.add(event);
        } else {
            step(event);
        }
    }

    Incarnation incarnation() {
        return member.incarnation();
    }

    boolean isAlive() {
        return alive;
    }

    boolean isRunning() {
        return alive && !paused;
    }

    void kill() {
        alive = false;
        fleet.platform().updateInstanceList(incarnation(), false);
    }

    Member member() {
        return member;
    }

    InstanceName name() {
        return member.name();
    }

    void pause() {
        paused = true;
        fleet.platform().updateInstanceList(incarnation(), false);
    }

    Policy policy() {
        return board.identity().policy();
    }

    /** Fires due timers before the events queued during the pause, in the order of the control thread. */
    void resume() {
        if (!alive) {
            return;
        }
        paused = false;
        fleet.platform().updateInstanceList(incarnation(), true);
        fireTimers();
        final List<Event> queued = new ArrayList<>(eventsWhilePaused);
        eventsWhilePaused.clear();
        queued.forEach(this::deliver);
    }

    void start() {
        fleet.platform().updateInstanceList(incarnation(), true);
        deliver(new Event.Started());
    }

    private void fireTimers() {
        if (!alive || paused) {
            return;
        }
        final Instant now = fleet.time().now();
        for (Event due = timers.pollDue(now); due != null && alive; due = timers.pollDue(now)) {
            step(due);
        }
    }

    private void step(final Event event) {
        final Step step = BlackboardStepper.step(board, event, fleet.time().now());
        board = step.board();
        step.effects().forEach(this::carryOut);
        fleet.afterStep(this);
    }

    private void carryOut(final Effect effect) {
        switch (effect) {
            case Effect.StartTimer(var key, Instant due) -> {
                timers.start(key, due);
                fleet.time().at(due, this::fireTimers);
            }
            case Effect.Instruct(var request, var instruction) ->
                fleet.callers().handleInstruction(this, request, instruction);
            case Effect.SendToPeer(Member receiver, var message) ->
                fleet.network().send(this, receiver, message);
            case Effect.ReadConfiguration(long generation) -> fleet.platform().readConfiguration(this, generation);
            case Effect.ReadMembership() -> fleet.platform().readMembership(this);
            case Effect.RenewLease(long lease) -> fleet.platform().renewLease(this, lease);
            case Effect.WriteRoster(var roster, long revision) ->
                fleet.platform().writeRoster(this, roster, revision);
            case Effect.FetchLoad(var upstream) ->
                fleet.upstream(upstream.name()).report(this);
            case Effect.CancelAttempt(var upstream, var attempt) ->
                fleet.upstream(upstream.name()).cancel(attempt);
            case Effect.ClaimKey(var request, var team, var key) ->
                fleet.platform().claim(this, request, team + "/" + key);
            case Effect.ReleaseClaim(var request, var team, var key) ->
                fleet.platform().releaseClaim(this, request, team + "/" + key);
            case Effect.PlatformEffect site -> throw new IllegalArgumentException("no platform to carry out " + site);
            case Effect.StopProcess() -> fleet.time().after(EXIT_DELAY, () -> fleet.kill(this));
        }
    }
}
