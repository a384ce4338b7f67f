package org.lacewingstep.traffic;

import java.util.ArrayDeque;
import java.util.Deque;

import org.lacewingstep.blackboard.Instruction;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;

/** The instructions for one request, in order; filled by the control thread, emptied by a traffic thread. */
public final class InstructionInbox {
    private final Deque<Instruction> instructions = new ArrayDeque<>();

    private Downstream<? super Instruction> waiting;

    /**
     * Adds an instruction.
     *
     * @param instruction the instruction, not null
     */
    public void deliver(final Instruction instruction) {
        final Downstream<? super Instruction> receiver;
        synchronized (this) {
            receiver = waiting;
            waiting = null;
            if (receiver == null) {
                instructions.add(instruction);
            }
        }
        if (receiver != null) {
            receiver.success(instruction);
        }
    }

    /**
     * Takes out the next instruction.
     *
     * @return the instruction, as soon as there is one
     */
    public Promise<Instruction> next() {
        return Promise.async(receiver -> await(receiver));
    }

    private void await(final Downstream<? super Instruction> receiver) {
        final Instruction instruction;
        synchronized (this) {
            instruction = instructions.poll();
            if (instruction == null) {
                waiting = receiver;
            }
        }
        if (instruction != null) {
            receiver.success(instruction);
        }
    }
}
