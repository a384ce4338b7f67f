package org.lacewingstep.traffic;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import org.lacewingstep.blackboard.Instruction;
import org.lacewingstep.domain.RequestIdentifier;

/** Delivers instructions to the inboxes of open requests. */
public final class InstructionRouter {
    private final ConcurrentMap<RequestIdentifier, InstructionInbox> inboxes = new ConcurrentHashMap<>();

    /**
     * Waits until no request is open.
     *
     * @param limit the longest wait, not null
     * @return whether all requests were closed in time
     * @throws InterruptedException if the thread is interrupted
     */
    public synchronized boolean awaitEmpty(final Duration limit) throws InterruptedException {
        final long end = System.nanoTime() + limit.toNanos();
        long left = limit.toMillis();
        while (!inboxes.isEmpty() && left > 0) {
            wait(left);
            left = Duration.ofNanos(end - System.nanoTime()).toMillis();
        }
        return inboxes.isEmpty();
    }

    /**
     * Closes the inbox of a request.
     *
     * @param request the request, not null
     */
    public void close(final RequestIdentifier request) {
        inboxes.remove(request);
        if (inboxes.isEmpty()) {
            signalEmpty();
        }
    }

    /**
     * Delivers an instruction; it is dropped if the request is not open.
     *
     * @param request the request, not null
     * @param instruction the instruction, not null
     */
    public void deliver(final RequestIdentifier request, final Instruction instruction) {
        final InstructionInbox inbox = inboxes.get(request);
        if (inbox != null) {
            inbox.deliver(instruction);
        }
    }

    /**
     * Opens the inbox of a request.
     *
     * @param request the request, not null
     * @return the inbox, never null
     */
    public InstructionInbox open(final RequestIdentifier request) {
        return inboxes.computeIfAbsent(request, key -> new InstructionInbox());
    }

    /**
     * Counts the open requests.
     *
     * @return the number
     */
    public int size() {
        return inboxes.size();
    }

    private synchronized void signalEmpty() {
        notifyAll();
    }
}
