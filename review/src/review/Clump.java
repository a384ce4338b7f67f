package review;

/** BUDGET: requests with the harmful part come five at a time. */
final class Clump extends CrashingPart {
    @Override
    int clump() {
        return 5;
    }

    @Override
    int attempts() {
        return 1;
    }

    @Override
    String prompt(final String own, final boolean harmful, final String harmfulPart) {
        return "5c1e07a2:200," + (harmful ? harmfulPart : "90bd3f06") + ":500," + own + ":2500";
    }
}
