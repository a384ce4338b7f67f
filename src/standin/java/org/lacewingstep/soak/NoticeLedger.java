package org.lacewingstep.soak;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Limits the requests that reach upstreams after they announced their shutdown or a time of return. */
final class NoticeLedger {
    /** Time after which an instance that was told must send nothing more to an upstream that leaves. */
    private static final long DRAIN_MILLISECONDS = 2000;

    /** Time in which requests may still arrive that were on their way when the upstream refused another one. */
    private static final long TRANSIT_MILLISECONDS = 500;

    private static final int MAX_ARRIVALS_IN_A_PAUSE = 2;

    private final AtomicInteger leavingAnswers = new AtomicInteger();
    private final AtomicInteger pauses = new AtomicInteger();
    private final Map<Receiver, Long> leavingSince = new ConcurrentHashMap<>();
    private final Map<Receiver, Pause> lastPauses = new ConcurrentHashMap<>();

    /** An instance that a start of an upstream has told something. */
    private record Receiver(String upstreamStart, int instance) {}

    /** A time in which an upstream wants no requests. */
    private record Pause(long refusedAt, long endsAt, AtomicInteger arrivals) {}

    void recordLeaving(final String upstreamStart, final int instance, final long now) {
        leavingAnswers.incrementAndGet();
        leavingSince.putIfAbsent(new Receiver(upstreamStart, instance), now);
    }

    /** Records a refusal with a time of return; one within a pause leaves that pause as it is. */
    void recordPause(final String upstreamStart, final int instance, final long now, final long milliseconds) {
        pauses.incrementAndGet();
        lastPauses.compute(
                new Receiver(upstreamStart, instance),
                (receiver, known) -> known != null && known.endsAt() > now
                        ? known
                        : new Pause(now, now + milliseconds, new AtomicInteger()));
    }

    /** Records the arrival of a request at an upstream from an undisturbed instance. */
    void recordArrival(final String upstreamStart, final int instance, final long now, final SoakLedger ledger) {
        final Receiver receiver = new Receiver(upstreamStart, instance);
        final Long leaving = leavingSince.get(receiver);
        if (leaving != null
                && now > leaving + DRAIN_MILLISECONDS
                && !ledger.disturbances().overlap(SoakDisturbances.instance(instance), leaving, now)) {
            ledger.recordViolation("front-" + instance + " sent a request to upstream " + upstreamStart + " "
                    + (now - leaving) + " ms after it said that it leaves");
        }
        final Pause pause = lastPauses.get(receiver);
        if (pause != null
                && now > pause.refusedAt() + TRANSIT_MILLISECONDS
                && now < pause.endsAt()
                && !ledger.disturbances().overlap(SoakDisturbances.instance(instance), pause.refusedAt(), now)
                && pause.arrivals().incrementAndGet() == MAX_ARRIVALS_IN_A_PAUSE + 1) {
            ledger.recordViolation("front-" + instance + " sent more than " + MAX_ARRIVALS_IN_A_PAUSE
                    + " requests to upstream " + upstreamStart + " before its time of return");
        }
    }

    @Override
    public String toString() {
        return "leaving answers=" + leavingAnswers + " pauses=" + pauses;
    }
}
