package review2;

import java.nio.file.Path;

/** Case 7: engines crash 0.3 s after the first event of an answer on a harmful part. */
public final class CrashAmidAnAnswer {
    private static final int EVENTS_BEFORE_CRASH = 4;
    private static final long END_MILLIS = 40_000;

    private CrashAmidAnAnswer() {}

    public static void main(final String[] arguments) {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(HarmfulPart.play(
                Path.of(arguments[0]), HarmfulPart.Plan.withoutKill(trouble, EVENTS_BEFORE_CRASH, END_MILLIS)));
    }
}
