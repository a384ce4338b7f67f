package org.lacewingstep.control;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Step;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.controller.BlackboardStepper;
import org.lacewingstep.domain.StoreRevision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the control loop: the only thread that changes the blackboard. It blocks until the next event or timer. */
public final class ControlThread {
    /**
     * Drift between the wall clock and the monotonic clock that indicates a suspended machine or an adjusted wall
     * clock; larger than the delays of thread scheduling.
     */
    private static final Duration CLOCK_JUMP_THRESHOLD = Duration.ofMillis(100);

    private static final Logger LOGGER = LoggerFactory.getLogger(ControlThread.class);
    private static final Duration MAX_WAIT = Duration.ofMinutes(1);

    private final MonotonicClock clock;
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final EffectHandler handler;
    private final Timer stepTimer;
    private final StepTimes stepTimes;
    private final Thread thread;
    private final TimerQueue timers = new TimerQueue();

    private volatile Blackboard board;
    private volatile boolean stopped;

    /**
     * Creates the control thread without starting it.
     *
     * @param board the initial blackboard, not null
     * @param clock the clock that supplies the time of each step, not null
     * @param handler executes effects without blocking, not null
     * @param metrics the registry for the step durations and the queue length, not null
     */
    public ControlThread(
            final Blackboard board,
            final MonotonicClock clock,
            final EffectHandler handler,
            final MetricRegistry metrics) {
        this.board = board;
        this.clock = clock;
        this.handler = handler;
        this.stepTimer = metrics.timer("control.step");
        this.stepTimes = new StepTimes(metrics);
        this.thread = new Thread(this::run, "control");
        metrics.gauge("control.queue", () -> events::size);
    }

    /**
     * Returns the blackboard after the latest completed step.
     *
     * @return the blackboard, never null
     */
    public Blackboard board() {
        return board;
    }

    /**
     * Queues an event for the controllers.
     *
     * @param event the event, not null
     */
    public void post(final Event event) {
        events.add(event);
    }

    /**
     * Starts the thread.
     *
     * @param firstEvent the event processed first, not null
     */
    public void start(final Event firstEvent) {
        post(firstEvent);
        thread.start();
    }

    /** Stops the thread after the current step. */
    public void stop() {
        stopped = true;
        thread.interrupt();
    }

    private void run() {
        while (!stopped) {
            try {
                final Event event = awaitNextEvent();
                if (event != null) {
                    processAfterClockCheck(event);
                }
            } catch (final InterruptedException interruption) {
                LOGGER.debug("control thread interrupted");
            } catch (final RuntimeException | Error failure) {
                // Without this thread the process would stay alive and handle nothing.
                LOGGER.error("an event was not handled", failure);
            }
        }
    }

    private Event awaitNextEvent() throws InterruptedException {
        final Instant now = clock.now();
        final Event timerEvent = timers.pollDue(now);
        if (timerEvent != null) {
            return timerEvent;
        }
        final Duration wait = timers.nextDueTime()
                .map(at -> Duration.between(now, at))
                .filter(duration -> duration.compareTo(MAX_WAIT) < 0)
                .orElse(MAX_WAIT);
        return events.poll(Math.max(1, wait.toNanos()), TimeUnit.NANOSECONDS);
    }

    private void processAfterClockCheck(final Event event) {
        final Duration drift = clock.drift();
        if (drift.abs().compareTo(CLOCK_JUMP_THRESHOLD) > 0) {
            process(new Event.ClockJumped(drift));
        }
        process(event);
    }

    private void process(final Event event) {
        if (!applyStep(event)) {
            withoutFailingChanges(event).ifPresent(this::applyStep);
        }
    }

    /** Applies the step of an event and returns whether it succeeded. */
    private boolean applyStep(final Event event) {
        final long start = System.nanoTime();
        try {
            final Step step = BlackboardStepper.step(board, event, clock.now());
            board = step.board();
            step.effects().forEach(this::dispatch);
            return true;
        } catch (final RuntimeException | Error failure) {
            LOGGER.error("step failed, the blackboard is unchanged; event {}", event, failure);
            return false;
        } finally {
            final long elapsed = System.nanoTime() - start;
            stepTimer.update(elapsed, TimeUnit.NANOSECONDS);
            stepTimes.add(event, elapsed);
        }
    }

    /** Removes the changes that fail from an event of the store, whose loss would end the watch of the store. */
    private Optional<Event> withoutFailingChanges(final Event event) {
        return switch (event) {
            case Event.StoreRead(var content, StoreRevision revision, Instant requestedAt) ->
                Optional.of(new Event.StoreRead(succeeding(content, revision), revision, requestedAt));
            case Event.StoreChanged(var changes, StoreRevision revision) ->
                Optional.of(new Event.StoreChanged(succeeding(changes, revision), revision));
            default -> Optional.empty();
        };
    }

    private List<StoreChange> succeeding(final List<StoreChange> changes, final StoreRevision revision) {
        return changes.stream().filter(change -> succeeds(change, revision)).toList();
    }

    private boolean succeeds(final StoreChange change, final StoreRevision revision) {
        try {
            BlackboardStepper.step(board, new Event.StoreChanged(List.of(change), revision), clock.now());
            return true;
        } catch (final RuntimeException | Error failure) {
            LOGGER.error("a change of the store is skipped: {}", change, failure);
            return false;
        }
    }

    /** Executes one effect; its failure must not keep the other effects of the step, such as timers, from execution. */
    private void dispatch(final Effect effect) {
        try {
            if (effect instanceof Effect.StartTimer(var key, Instant due)) {
                timers.start(key, due);
            } else {
                handler.handle(effect);
            }
        } catch (final RuntimeException | Error failure) {
            LOGGER.error("an effect failed: {}", effect, failure);
        }
    }
}
