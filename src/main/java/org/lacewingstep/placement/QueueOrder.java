package org.lacewingstep.placement;

import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.lacewingstep.domain.RequestIdentifier;

/**
 * Orders the queued calls of a service. Answers bursts that exceed the capacity of the service: each place that becomes
 * free goes to a call that can still be on time, and to one that is late only if no other is queued.
 */
public final class QueueOrder {
    private static final Comparator<QueuedCall> ORDER = Comparator.comparing(QueuedCall::canBeOnTime)
            .reversed()
            .thenComparing(QueuedCall::receivedAt)
            .thenComparing(call -> call.request().value());

    private QueueOrder() {}

    /**
     * A call that waits for an upstream.
     *
     * @param request the identifier of the call, not null
     * @param receivedAt when the call arrived, not null
     * @param canBeOnTime whether a response can be on time if the call is sent now
     */
    public record QueuedCall(RequestIdentifier request, Instant receivedAt, boolean canBeOnTime) {}

    /**
     * Orders queued calls.
     *
     * @param calls the calls, not null
     * @return the identifiers of the calls in the order in which they are placed, never null
     */
    public static List<RequestIdentifier> order(final Collection<QueuedCall> calls) {
        return calls.stream().sorted(ORDER).map(QueuedCall::request).toList();
    }
}
