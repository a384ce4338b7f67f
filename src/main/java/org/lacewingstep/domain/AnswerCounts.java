package org.lacewingstep.domain;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * What one process has counted of its requests since an order; the numbers only grow.
 *
 * @param sent number of requests sent
 * @param failed number of failed requests
 * @param served number of responses by the class of the time that they took
 */
public record AnswerCounts(long sent, long failed, Map<Integer, Long> served) {
    /** The counts before the first request. */
    public static final AnswerCounts NONE = new AnswerCounts(0, 0, Map.of());

    /** Classes of response times in a factor of two. */
    private static final int CLASSES_PER_DOUBLING = 2;

    private static final int MAX_CLASS = 40;

    /** Copies the map. */
    public AnswerCounts {
        served = Map.copyOf(served);
    }

    /**
     * Returns the class of a response time.
     *
     * @param time the time from sending to the complete response, not null
     * @return the class; a time twice as long has a class higher by two
     */
    public static int timeClass(final Duration time) {
        final double doublings = Math.log(Math.max(1, time.toMillis())) / Math.log(2);
        return (int) Math.min(MAX_CLASS, Math.floor(doublings * CLASSES_PER_DOUBLING));
    }

    /**
     * Counts a request that was sent.
     *
     * @return the counts with the request, never null
     */
    public AnswerCounts plusSent() {
        return new AnswerCounts(sent + 1, failed, served);
    }

    /**
     * Counts a failed request.
     *
     * @return the counts with the failure, never null
     */
    public AnswerCounts plusFailed() {
        return new AnswerCounts(sent, failed + 1, served);
    }

    /**
     * Counts a complete response.
     *
     * @param time the time from sending to the complete response, not null
     * @return the counts with the response, never null
     */
    public AnswerCounts plusServed(final Duration time) {
        final Map<Integer, Long> next = new HashMap<>(served);
        next.merge(timeClass(time), 1L, Long::sum);
        return new AnswerCounts(sent, failed, next);
    }

    /**
     * Adds the counts of other requests.
     *
     * @param other the other counts, not null
     * @return the sums, never null
     */
    public AnswerCounts plus(final AnswerCounts other) {
        final Map<Integer, Long> next = new HashMap<>(served);
        other.served.forEach((timeClass, number) -> next.merge(timeClass, number, Long::sum));
        return new AnswerCounts(sent + other.sent, failed + other.failed, next);
    }

    /**
     * Combines two reports of the same process in any order, so that a late or repeated one changes nothing.
     *
     * @param other the other report, not null
     * @return the later counts, never null
     */
    public AnswerCounts latest(final AnswerCounts other) {
        final Map<Integer, Long> next = new HashMap<>(served);
        other.served.forEach((timeClass, number) -> next.merge(timeClass, number, Math::max));
        return new AnswerCounts(Math.max(sent, other.sent), Math.max(failed, other.failed), next);
    }

    /**
     * Counts the responses, failed ones included.
     *
     * @return the number of requests that have ended with a response or failed
     */
    public long answers() {
        return failed + served.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Counts bad responses: those that failed and those that took a time of a class or a higher one.
     *
     * @param slowFrom the lowest class that is too slow
     * @return the number of bad responses
     */
    public long bad(final int slowFrom) {
        return failed
                + served.entrySet().stream()
                        .filter(entry -> entry.getKey() >= slowFrom)
                        .mapToLong(Map.Entry::getValue)
                        .sum();
    }
}
