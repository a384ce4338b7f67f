package org.lacewingstep.control;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;
import org.lacewingstep.blackboard.Step;
import org.lacewingstep.controller.BlackboardStepper;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The only thread that changes the blackboard; it waits for the next event or timer. */
public final class ControlThread {
    private static final Duration LONGEST_WAIT = Duration.ofMinutes(1);

    /** Drift of the time of day that shows a suspended machine or a step of its clock, above scheduling delays. */
    private static final Duration SKIP_THRESHOLD = Duration.ofMillis(100);

    private static final Logger LOGGER = LoggerFactory.getLogger(ControlThread.class);

    private final MonotonicClock clock;
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final EffectHandler handler;
    private final Timer stepTimer;
    private final Thread thread;
    private final TimerQueue timers = new TimerQueue();

    private volatile Blackboard board;
    private volatile boolean stopped;

    /**
     * Creates the thread without starting it.
     *
     * @param board the first blackboard, not null
     * @param clock the clock, not null
     * @param handler carries out effects without waiting, not null
     * @param metrics receives the duration of steps, not null
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
        this.thread = new Thread(this::run, "control");
        metrics.gauge("control.queue", () -> events::size);
    }

    /**
     * Gets the blackboard published last.
     *
     * @return the blackboard, never null
     */
    public Blackboard board() {
        return board;
    }

    /**
     * Hands an event to the controllers.
     *
     * @param event the event, not null
     */
    public void post(final Event event) {
        events.add(event);
    }

    /**
     * Starts the thread.
     *
     * @param first the first event, not null
     */
    public void start(final Event first) {
        post(first);
        thread.start();
    }

    /** Ends the thread after the step under way. */
    public void stop() {
        stopped = true;
        thread.interrupt();
    }

    private void run() {
        while (!stopped) {
            try {
                final Event event = next();
                if (event != null) {
                    step(event);
                }
            } catch (final InterruptedException interruption) {
                LOGGER.debug("control thread interrupted");
            }
        }
    }

    private Event next() throws InterruptedException {
        final Instant now = clock.now();
        final Event due = timers.pollDue(now);
        if (due != null) {
            return due;
        }
        final Duration wait = timers.nextDue()
                .map(at -> Duration.between(now, at))
                .filter(duration -> duration.compareTo(LONGEST_WAIT) < 0)
                .orElse(LONGEST_WAIT);
        return events.poll(Math.max(1, wait.toNanos()), TimeUnit.NANOSECONDS);
    }

    private void step(final Event event) {
        final Duration drift = clock.drift();
        if (drift.abs().compareTo(SKIP_THRESHOLD) > 0) {
            decide(new Event.ClockSkipped(drift));
        }
        decide(event);
    }

    private void decide(final Event event) {
        try (Timer.Context ignored = stepTimer.time()) {
            final Step step = BlackboardStepper.step(board, event, clock.now());
            board = step.board();
            step.effects().forEach(this::handle);
        } catch (final RuntimeException failure) {
            LOGGER.error("step failed, the blackboard stays as it was; event {}", event, failure);
        }
    }

    private void handle(final Effect effect) {
        if (effect instanceof Effect.StartTimer(var key, Instant due)) {
            timers.start(key, due);
        } else {
            handler.handle(effect);
        }
    }
}
