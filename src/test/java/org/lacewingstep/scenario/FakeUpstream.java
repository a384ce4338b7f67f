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

/** Simulates an engine or plain service with limited memory, whose load reports arrive late. */
final class FakeUpstream {
    /** Allows for one load report interval, the delay of the report and a message to the shard owner. */
    private static final Duration COLD_START_DETECTION_DELAY = Duration.ofMillis(850);

    private static final Duration LOAD_REPORT_DELAY = Duration.ofMillis(300);

    private final VirtualFleet fleet;
    private final Map<AttemptIdentifier, LoadReport.HeldMemory> running = new HashMap<>();
    private final Upstream upstream;

    private int accepted;
    private boolean cold;
    private int coldOverloads;
    private Instant coldSince = VirtualTime.START;
    private boolean down;
    private int coldOverloadsAfterDetection;
    private int memoryOvercommits;
    private int served;
    private int servedSinceCold;
    private int startCount;
    private int startsWhileOutOfService;

    FakeUpstream(final VirtualFleet fleet, final Upstream upstream) {
        this.fleet = fleet;
        this.upstream = upstream;
    }

    int accepted() {
        return accepted;
    }

    void cancel(final AttemptIdentifier attempt) {
        fleet.time().after(LOAD_REPORT_DELAY.dividedBy(100), () -> running.remove(attempt));
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

    boolean holdsMemoryFor(final Incarnation owner) {
        return running.values().stream().anyMatch(held -> held.owner().equals(owner));
    }

    boolean isDown() {
        return down;
    }

    boolean isRunning(final AttemptIdentifier attempt) {
        return running.containsKey(attempt);
    }

    /** Returns the number of overloads after a load report could have revealed the cold start. */
    int coldOverloadsAfterDetection() {
        return coldOverloadsAfterDetection;
    }

    int memoryOvercommits() {
        return memoryOvercommits;
    }

    void report(final VirtualInstance reader) {
        if (down) {
            return;
        }
        final List<LoadReport.HeldMemory> held = new ArrayList<>(running.values());
        final LoadReport report = new LoadReport("start-" + startCount, cold && servedSinceCold == 0, held);
        fleet.time().after(LOAD_REPORT_DELAY, () -> reader.deliver(new Event.LoadReported(upstream.name(), report)));
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
            enterColdStart();
        }
    }

    /**
     * Starts an attempt unless the upstream is down. A cold upstream can run as many attempts at once as the cold-start
     * floor, plus one for each attempt that it has served since the cold start.
     */
    boolean start(final AttemptIdentifier attempt, final Incarnation owner, final int pieces) {
        if (down) {
            return false;
        }
        final int usedPieces = running.values().stream()
                .mapToInt(LoadReport.HeldMemory::pieces)
                .sum();
        if (usedPieces + pieces > upstream.memoryPieces()) {
            memoryOvercommits++;
        }
        final int coldStartLimit = fleet.policy().coldStartFloor() + servedSinceCold;
        if (cold && running.size() >= coldStartLimit) {
            coldOverloads++;
            coldOverloadsAfterDetection +=
                    fleet.time().now().isAfter(coldSince.plus(COLD_START_DETECTION_DELAY)) ? 1 : 0;
        }
        if (isOutOfService()) {
            startsWhileOutOfService++;
        }
        accepted++;
        running.put(attempt, new LoadReport.HeldMemory(attempt, owner, pieces));
        return true;
    }

    private boolean isOutOfService() {
        final Configuration configuration = fleet.platform().configuration();
        final Upstream stored = configuration.upstreams().get(upstream.name());
        return stored.leaving()
                || configuration.failureDomains().get(stored.failureDomain()).takenOut();
    }

    int startsWhileOutOfService() {
        return startsWhileOutOfService;
    }

    void enterColdStart() {
        startCount++;
        cold = true;
        coldSince = fleet.time().now();
        servedSinceCold = 0;
    }

    Upstream upstream() {
        return upstream;
    }
}
