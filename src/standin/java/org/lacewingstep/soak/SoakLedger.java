package org.lacewingstep.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Records what callers and upstreams observe, and detects violations of the guarantees to callers.
 *
 * <p>The ledger shares no code with the product. Times are milliseconds of {@link SoakClock}.
 */
final class SoakLedger {
    /** Time within which all instances reject a withdrawn key; equals {@code revokeMs} in the instance settings. */
    static final long WITHDRAWAL_MILLISECONDS = 5000;

    private final Set<String> refusedRequests = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> runCounts = new ConcurrentHashMap<>();
    private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
    private final Map<Outcome, Integer> outcomes = new ConcurrentHashMap<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final Map<String, Long> withdrawnAt = new ConcurrentHashMap<>();

    /** The result of a request from the caller's perspective. */
    enum Outcome {
        SERVED,
        REFUSED,
        FAILED,
        CUT
    }

    void recordViolation(final String text) {
        violations.add(text);
    }

    void recordSent(final String requestId, final long now) {
        sentAt.put(requestId, now);
    }

    void recordOutcome(final String requestId, final Outcome outcome) {
        outcomes.merge(outcome, 1, Integer::sum);
        if (outcome == Outcome.REFUSED) {
            refusedRequests.add(requestId);
        }
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
     */
    void recordRun(final String requestId, final String route, final String reportedTeam) {
        final int count = runCounts.merge(requestId, 1, Integer::sum);
        if (route.equals("once") && count > 1) {
            recordViolation(requestId + " ran " + count + " times");
        }
        final String key = SoakClient.keyOf(requestId);
        if (!reportedTeam.equals(SoakClient.teamOf(key))) {
            recordViolation(requestId + " ran for team " + reportedTeam);
        }
        final Long requestSentAt = sentAt.get(requestId);
        final Long keyWithdrawnAt = withdrawnAt.get(key);
        if (requestSentAt == null) {
            recordViolation(requestId + " ran although no caller sent it");
        } else if (keyWithdrawnAt != null && requestSentAt > keyWithdrawnAt + WITHDRAWAL_MILLISECONDS) {
            recordViolation(requestId + " ran with a key that was withdrawn " + (requestSentAt - keyWithdrawnAt)
                    + " ms before it was sent");
        }
    }

    int count(final Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    /** Lists all violations; requires that no request is in progress. */
    List<String> listViolations() {
        final List<String> allViolations = new ArrayList<>(violations);
        refusedRequests.stream()
                .filter(runCounts::containsKey)
                .map(request -> request + " was refused as not run and ran")
                .forEach(allViolations::add);
        return allViolations;
    }

    @Override
    public String toString() {
        return outcomes + " runs=" + runCounts.size();
    }
}
