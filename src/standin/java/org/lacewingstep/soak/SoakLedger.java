package org.lacewingstep.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Records what callers and upstreams observe, and detects violations of the guarantees to callers.
 *
 * <p>The ledger shares no code with the product. Times are milliseconds of {@link SoakClock}.
 */
final class SoakLedger {
    /** Time within which all instances reject a withdrawn key; equals {@code revokeMs} in the instance settings. */
    static final long WITHDRAWAL_MILLISECONDS = 5000;

    /** Time within which a request that runs at sound upstreams must be answered; its deadline lies well after it. */
    private static final long SOUND_RUN_MILLISECONDS = 2800;

    private final Map<String, Integer> actedFaults = new ConcurrentHashMap<>();
    private final CrashingPart crashingPart = new CrashingPart();
    private final NoticeLedger notices = new NoticeLedger();
    private final SoakDisturbances disturbances = new SoakDisturbances();
    private final Set<String> refusedRequests = ConcurrentHashMap.newKeySet();
    private final Map<String, Queue<Integer>> runs = new ConcurrentHashMap<>();
    private final Set<String> runsOnDeadConnections = ConcurrentHashMap.newKeySet();
    private final Map<String, SentRequest> sentRequests = new ConcurrentHashMap<>();
    private final boolean judgesSoundRuns;
    private final AtomicInteger soundRequests = new AtomicInteger();
    private final Map<Outcome, Integer> outcomes = new ConcurrentHashMap<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final Map<String, Long> withdrawnAt = new ConcurrentHashMap<>();

    /** A request as its caller sent it. */
    private record SentRequest(int instance, long sentAt, boolean crashing, boolean stream) {}

    /** The result of a request from the caller's perspective. */
    enum Outcome {
        SERVED,
        REFUSED,
        FAILED,
        CUT
    }

    /**
     * Creates an empty ledger.
     *
     * @param judgesSoundRuns whether a request that runs only at sound upstreams must be answered completely
     */
    SoakLedger(final boolean judgesSoundRuns) {
        this.judgesSoundRuns = judgesSoundRuns;
    }

    void recordViolation(final String text) {
        violations.add(text);
    }

    SoakDisturbances disturbances() {
        return disturbances;
    }

    /** Records that an injected fault changed what a request or an instance experienced. */
    void recordActedFault(final String name) {
        actedFaults.merge(name, 1, Integer::sum);
    }

    /**
     * Records that a caller sends a request.
     *
     * @param requestId the identifier of the request
     * @param instance the index of the instance that receives the request
     * @param route the route name
     * @param promptParts the prompt parts of the request, empty if it has none
     * @param now the present time
     */
    void recordSent(
            final String requestId, final int instance, final String route, final String promptParts, final long now) {
        sentRequests.put(
                requestId, new SentRequest(instance, now, CrashingPart.isIn(promptParts), route.equals("stream")));
    }

    void recordOutcome(final String requestId, final Outcome outcome, final long now) {
        outcomes.merge(outcome, 1, Integer::sum);
        if (outcome == Outcome.REFUSED) {
            refusedRequests.add(requestId);
        }
        final SentRequest request = sentRequests.get(requestId);
        if (isSoundRun(requestId, request, now)) {
            soundRequests.incrementAndGet();
            if (judgesSoundRuns && outcome != Outcome.SERVED) {
                recordViolation(requestId + " ran only at sound upstreams " + runs.get(requestId) + " and ended "
                        + outcome + " at front-" + request.instance() + " after " + (now - request.sentAt()) + " ms");
            }
        }
        if (request.stream() && !request.crashing() && isInTouch(request.instance(), request.sentAt(), now)) {
            crashingPart.recordSoundRequest(request.sentAt(), runs.containsKey(requestId));
        }
    }

    /** Returns whether nothing that the soak injected excuses an incomplete answer to a request that has run. */
    private boolean isSoundRun(final String requestId, final SentRequest request, final long endedAt) {
        return runs.containsKey(requestId)
                && !request.crashing()
                && endedAt - request.sentAt() < SOUND_RUN_MILLISECONDS
                && !runsOnDeadConnections.contains(requestId)
                && !disturbances.overlap(SoakDisturbances.instance(request.instance()), request.sentAt(), endedAt)
                && runs.get(requestId).stream()
                        .noneMatch(upstream -> disturbances.overlapUpstream(upstream, request.sentAt(), endedAt));
    }

    private boolean isInTouch(final int instance, final long from, final long to) {
        final long contactSince = from - CrashingPart.CONTACT_MILLISECONDS;
        return !disturbances.overlap(SoakDisturbances.instance(instance), contactSince, to)
                && !disturbances.overlap(SoakDisturbances.plannedStop(instance), contactSince, to)
                && !disturbances.overlap(SoakDisturbances.STORE, contactSince, to)
                && !disturbances.overlap(SoakDisturbances.STORE_CONNECTIONS, contactSince, to);
    }

    /** Records that a request with the crashing part reached an upstream, also if the upstream rejects the request. */
    void recordCrashingArrival(final String requestId, final long now) {
        final SentRequest request = sentRequests.get(requestId);
        if (request != null && isInTouch(request.instance(), now, now)) {
            crashingPart.recordArrival(requestId, now);
        }
    }

    /** Records that an upstream said to the instance of a request that it leaves. */
    void recordLeaving(final String upstreamStart, final String requestId, final long now) {
        final SentRequest request = sentRequests.get(requestId);
        if (request != null) {
            notices.recordLeaving(upstreamStart, request.instance(), now);
        }
    }

    /** Records that an upstream refused a request and named a time of return. */
    void recordPause(final String upstreamStart, final String requestId, final long now, final long milliseconds) {
        final SentRequest request = sentRequests.get(requestId);
        if (request != null) {
            notices.recordPause(upstreamStart, request.instance(), now, milliseconds);
        }
    }

    /** Records that a request reached an upstream, also if the upstream rejects it. */
    void recordArrival(final String upstreamStart, final String requestId, final long now) {
        final SentRequest request = sentRequests.get(requestId);
        if (request != null) {
            notices.recordArrival(upstreamStart, request.instance(), now, this);
        }
    }

    void recordCrash(final long now) {
        crashingPart.recordCrash(now);
    }

    /** Records that a request ran over a connection that drops bytes for good. */
    void recordDeadConnection(final String requestId) {
        runsOnDeadConnections.add(requestId);
    }

    void recordWithdrawal(final String key, final long acknowledgedAt) {
        withdrawnAt.put(key, acknowledgedAt);
    }

    /**
     * Records that an upstream started to execute a request.
     *
     * @param requestId the identifier of the request
     * @param route the route name, which is the first segment of the request path
     * @param reportedTeam the team in the request header that the upstream received
     * @param upstream the index of the upstream
     */
    void recordRun(final String requestId, final String route, final String reportedTeam, final int upstream) {
        final Queue<Integer> requestRuns = runs.computeIfAbsent(requestId, unused -> new ConcurrentLinkedQueue<>());
        requestRuns.add(upstream);
        final int count = requestRuns.size();
        if (route.equals("once") && count > 1) {
            recordViolation(requestId + " ran " + count + " times");
        }
        final String key = SoakClient.keyOf(requestId);
        if (!reportedTeam.equals(SoakClient.teamOf(key))) {
            recordViolation(requestId + " ran for team " + reportedTeam);
        }
        final SentRequest request = sentRequests.get(requestId);
        final Long keyWithdrawnAt = withdrawnAt.get(key);
        if (request == null) {
            recordViolation(requestId + " ran although no caller sent it");
        } else if (keyWithdrawnAt != null && request.sentAt() > keyWithdrawnAt + WITHDRAWAL_MILLISECONDS) {
            recordViolation(requestId + " ran with a key that was withdrawn " + (request.sentAt() - keyWithdrawnAt)
                    + " ms before it was sent");
        }
    }

    int count(final Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    /** Lists all violations; requires that no request is in progress. */
    List<String> listViolations() {
        crashingPart.listViolations(this);
        final List<String> allViolations = new ArrayList<>(violations);
        refusedRequests.stream()
                .filter(runs::containsKey)
                .map(request -> request + " was refused as not run and ran")
                .forEach(allViolations::add);
        return allViolations;
    }

    @Override
    public String toString() {
        return outcomes + " runs=" + runs.size() + " sound=" + soundRequests + " " + actedFaults + " " + crashingPart
                + " " + notices;
    }
}
