package review;

import java.nio.file.Path;

/** Runs one case: {@code Main NAME FOLDER}; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
final class Main {
    private Main() {}

    interface Case {
        /** Runs the case and returns whether the rule held. */
        boolean run(Site site, boolean trouble) throws Exception;
    }

    public static void main(final String[] arguments) throws Exception {
        final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Recorder recorder = new Recorder(Path.of(arguments[1]).resolve("record.txt"));
                Site site = new Site(recorder)) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> site.routers.forEach(Router::close)));
            recorder.log("case %s, %s the disruption", arguments[0], trouble ? "with" : "without");
            final Case chosen = (Case) Class.forName("review." + arguments[0])
                    .getDeclaredConstructor()
                    .newInstance();
            try {
                final boolean held = chosen.run(site, trouble);
                recorder.tell(held ? "the rule held" : "the rule was broken");
                code = held ? 0 : 1;
            } catch (final Site.CannotRun reason) {
                recorder.tell("could not run: %s", reason.getMessage());
                code = 2;
            }
        } catch (final Throwable failure) {
            failure.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
