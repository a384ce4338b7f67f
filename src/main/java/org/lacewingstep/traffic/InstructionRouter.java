package org.lacewingstep.traffic;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import org.lacewingstep.blackboard.Instruction;
import org.lacewingstep.domain.RequestIdentifier;

/** Routes instructions to the inboxes of open requests. */
public final class InstructionRouter {
    private final ConcurrentMap<RequestIdentifier, InstructionInbox> inboxes = new ConcurrentHashMap<>();

    /**
     * Waits until no request is open.
     *
     * @param limit the longest time to wait, not null
     * @return whether all requests were closed in time
     * @throws InterruptedException if the thread is interrupted
     */
    public synchronized boolean awaitEmpty(final Duration limit) throws InterruptedException {
        final long deadlineNanos = System.nanoTime() + limit.toNanos();
        long remainingMs = limit.toMillis();
        while (!inboxes.isEmpty() && remainingMs > 0) {
            wait(remainingMs);
            remainingMs = Duration.ofNanos(deadlineNanos - System.nanoTime()).toMillis();
        }
        return inboxes.isEmpty();
    }

    /**
     * Removes the inbox of a request and wakes {@link #awaitEmpty(Duration)} if no request is open any more.
     *
     * @param request the request's identifier, not null
     */
    public void close(final RequestIdentifier request) {
        inboxes.remove(request);
        if (inboxes.isEmpty()) {
            signalEmpty();
        }
    }

    /**
     * Delivers an instruction to an open request; an instruction for a request that is not open is dropped.
     *
     * @param request the request's identifier, not null
     * @param instruction what to do next for the request, not null
     */
    public void deliver(final RequestIdentifier request, final Instruction instruction) {
        final InstructionInbox inbox = inboxes.get(request);
        if (inbox != null) {
            inbox.deliver(instruction);
        }
    }

    /**
     * Returns the inbox of a request and creates the inbox if the request has none.
     *
     * @param request the request's identifier, not null
     * @return the inbox of the request, never null
     */
    public InstructionInbox open(final RequestIdentifier request) {
        return inboxes.computeIfAbsent(request, key -> new InstructionInbox());
    }

    /**
     * Returns the number of open requests.
     *
     * @return the number of open requests
     */
    public int size() {
        return inboxes.size();
    }

    private synchronized void signalEmpty() {
        notifyAll();
    }
}
