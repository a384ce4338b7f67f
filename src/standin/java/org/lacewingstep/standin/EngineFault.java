package org.lacewingstep.standin;

/** A fault in the next stream of a stand-in engine. */
sealed interface EngineFault {
    /**
     * Creates a fault by name.
     *
     * @param kind the name, not null
     * @param tokens after how many tokens it happens
     * @return the fault, never null
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

    /** A frame of another request is sent. */
    record Crossed(int tokens) implements EngineFault {}

    /** The stream ends without its end mark. */
    record Cut(int tokens) implements EngineFault {}

    /** A frame is sent twice. */
    record Doubled(int tokens) implements EngineFault {}

    /** A prefill is refused. */
    record Refuse() implements EngineFault {}

    /** The stream falls silent. */
    record Stalled(int tokens) implements EngineFault {}
}
