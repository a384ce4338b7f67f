package review;

/** BUDGET: the harmful part stands behind sixteen others in the prompt. */
final class ManyParts extends CrashingPart {
    @Override
    String prompt(final String own, final boolean harmful, final String harmfulPart) {
        final StringBuilder parts = new StringBuilder();
        for (int i = 0; i < 17; i++) {
            parts.append("5c1e%04x:100,".formatted(i));
        }
        return parts + (harmful ? harmfulPart : "90bd3f06") + ":500," + own + ":1000";
    }
}
