package org.lacewingstep.traffic;

import java.util.ArrayDeque;
import java.util.Deque;

import org.lacewingstep.blackboard.Instruction;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;

/** Queues the instructions for one request in order; filled by the control thread and read by a traffic thread. */
public final class InstructionInbox {
    private final Deque<Instruction> instructions = new ArrayDeque<>();

    private Downstream<? super Instruction> pendingReceiver;

    /**
     * Passes an instruction to the waiting reader, or queues the instruction if no reader waits.
     *
     * @param instruction what to do next for the request, not null
     */
    public void deliver(final Instruction instruction) {
        final Downstream<? super Instruction> receiver;
        synchronized (this) {
            receiver = pendingReceiver;
            pendingReceiver = null;
            if (receiver == null) {
                instructions.add(instruction);
            }
        }
        if (receiver != null) {
            receiver.success(instruction);
        }
    }

    /**
     * Removes the next instruction from the queue.
     *
     * @return the next instruction, completed when an instruction is available
     */
    public Promise<Instruction> next() {
        return Promise.async(receiver -> await(receiver));
    }

    private void await(final Downstream<? super Instruction> receiver) {
        final Instruction instruction;
        synchronized (this) {
            instruction = instructions.poll();
            if (instruction == null) {
                pendingReceiver = receiver;
            }
        }
        if (instruction != null) {
            receiver.success(instruction);
        }
    }
}
