package org.lacewingstep.scenario;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.lacewingstep.blackboard.Event;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.LoadReport;
import org.lacewingstep.domain.Upstream;

/** An engine or plain service with limited memory, which reports its load late. */
final class FakeUpstream {
    /** One interval between reports, their lag, and a message to a home. */
    private static final Duration NOTICE = Duration.ofMillis(850);

    private static final Duration REPORT_LAG = Duration.ofMillis(300);

    private final VirtualFleet fleet;
    private final Map<AttemptIdentifier, LoadReport.HeldMemory> running = new HashMap<>();
    private final Upstream upstream;

    private int accepted;
    private boolean cold;
    private int coldOverloads;
    private Instant coldSince = VirtualTime.START;
    private boolean down;
    private int lateColdOverloads;
    private int overcommits;
    private int served;
    private int servedSinceCold;
    private int starts;
    private int startsWhileLeaving;

    FakeUpstream(final VirtualFleet fleet, final Upstream upstream) {
        this.fleet = fleet;
        this.upstream = upstream;
    }

    int accepted() {
        return accepted;
    }

    void cancel(final AttemptIdentifier attempt) {
        fleet.time().after(REPORT_LAG.dividedBy(100), () -> running.remove(attempt));
    }

    int coldOverloads() {
        return coldOverloads;
    }

    void end(final AttemptIdentifier attempt) {
        if (running.remove(attempt) != null) {
            served++;
            servedSinceCold++;
        }
    }

    boolean holdsFor(final Incarnation owner) {
        return running.values().stream().anyMatch(held -> held.owner().equals(owner));
    }

    boolean isDown() {
        return down;
    }

    boolean isRunning(final AttemptIdentifier attempt) {
        return running.containsKey(attempt);
    }

    /** Overloads after the cold start could have been noticed from a load report. */
    int lateColdOverloads() {
        return lateColdOverloads;
    }

    int overcommits() {
        return overcommits;
    }

    void report(final VirtualInstance reader) {
        if (down) {
            return;
        }
        final List<LoadReport.HeldMemory> held = new ArrayList<>(running.values());
        final LoadReport report = new LoadReport("start-" + starts, cold && servedSinceCold == 0, held);
        fleet.time().after(REPORT_LAG, () -> reader.deliver(new Event.LoadReported(upstream.name(), report)));
    }

    int running() {
        return running.size();
    }

    int served() {
        return served;
    }

    void setDown(final boolean isDown) {
        down = isDown;
        if (isDown) {
            running.clear();
        } else {
            turnCold();
        }
    }

    /** A cold upstream bears its floor at first and one attempt more for each that it has served. */
    boolean start(final AttemptIdentifier attempt, final Incarnation owner, final int pieces) {
        if (down) {
            return false;
        }
        final int used = running.values().stream()
                .mapToInt(LoadReport.HeldMemory::pieces)
                .sum();
        if (used + pieces > upstream.memoryPieces()) {
            overcommits++;
        }
        final int bearable = fleet.policy().coldStartFloor() + servedSinceCold;
        if (cold && running.size() >= bearable) {
            coldOverloads++;
            lateColdOverloads += fleet.time().now().isAfter(coldSince.plus(NOTICE)) ? 1 : 0;
        }
        if (isOut()) {
            startsWhileLeaving++;
        }
        accepted++;
        running.put(attempt, new LoadReport.HeldMemory(attempt, owner, pieces));
        return true;
    }

    private boolean isOut() {
        final Configuration inStore = fleet.platform().configuration();
        final Upstream stored = inStore.upstreams().get(upstream.name());
        return stored.leaving()
                || inStore.failureDomains().get(stored.failureDomain()).takenOut();
    }

    int startsWhileLeaving() {
        return startsWhileLeaving;
    }

    void turnCold() {
        starts++;
        cold = true;
        coldSince = fleet.time().now();
        servedSinceCold = 0;
    }

    Upstream upstream() {
        return upstream;
    }
}
