package review;

import java.io.IOException;
import java.io.OutputStream;

/** BUDGET: a runner crashes on the harmful part when it has written the first event of its answer. */
final class CrashAfterEvent extends CrashingPart {
    @Override
    String prompt(final String own, final boolean harmful, final String harmfulPart) {
        return "5c1e07a2:200," + (harmful ? harmfulPart : "90bd3f06") + ":500," + own + ":2500";
    }

    @Override
    void writeBeforeCrash(final Runner runner, final Http.Message request, final OutputStream output)
            throws IOException, InterruptedException {
        runner.writeStreamHead(request, output);
        Runner.writeEvent(output, 1);
        Thread.sleep(20);
    }
}
