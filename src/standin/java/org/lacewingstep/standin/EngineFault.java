package org.lacewingstep.standin;

/** A fault that a stand-in engine injects into its next stream or prefill. */
sealed interface EngineFault {
    /**
     * Creates the fault with the given name.
     *
     * @param kind the name of the fault, not null
     * @param tokens the number of tokens in the stream before the fault
     * @return the fault, never null
     * @throws IllegalArgumentException if no fault has this name
     */
    static EngineFault of(final String kind, final int tokens) {
        return switch (kind) {
            case "crossed" -> new Crossed(tokens);
            case "cut" -> new Cut(tokens);
            case "doubled" -> new Doubled(tokens);
            case "refuse" -> new Refuse();
            case "stalled" -> new Stalled(tokens);
            default -> throw new IllegalArgumentException("unknown fault " + kind);
        };
    }

    /** The engine sends a frame of another request. */
    record Crossed(int tokens) implements EngineFault {}

    /** The engine closes the stream without the end mark. */
    record Cut(int tokens) implements EngineFault {}

    /** The engine sends a frame twice. */
    record Doubled(int tokens) implements EngineFault {}

    /** The engine rejects a prefill. */
    record Refuse() implements EngineFault {}

    /** The engine stops sending frames but keeps the stream open. */
    record Stalled(int tokens) implements EngineFault {}
}
