package review2;

import java.nio.file.Path;

/** Case 9: all instances are killed at one moment while a part of a prompt is quarantined. */
public final class RestartOfAllInstances {
    private static final int EVENTS_BEFORE_CRASH = 1;
    private static final long EARLIEST_KILL_MILLIS = 25_000;
    private static final long LATEST_KILL_MILLIS = 50_000;
    private static final long END_MILLIS = 85_000;

    private RestartOfAllInstances() {}

    public static void main(final String[] arguments) {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        System.exit(HarmfulPart.play(
                Path.of(arguments[0]),
                trouble
                        ? new HarmfulPart.Plan(
                                true, EVENTS_BEFORE_CRASH, EARLIEST_KILL_MILLIS, LATEST_KILL_MILLIS, END_MILLIS)
                        : HarmfulPart.Plan.withoutKill(true, EVENTS_BEFORE_CRASH, END_MILLIS)));
    }
}
