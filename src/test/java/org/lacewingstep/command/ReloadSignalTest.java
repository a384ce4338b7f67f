package org.lacewingstep.command;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.Timeout.ThreadMode;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that SIGHUP ends no process that is still starting. */
class ReloadSignalTest {
    private static final int START_SECONDS = 60;

    @Test
    @Timeout(value = START_SECONDS, threadMode = ThreadMode.SEPARATE_THREAD)
    void signalBeforeTheSettingsAreWatchedReloadsThemLater() throws Exception {
        // The signal may be ignored where the tests run, and a process inherits that.
        final Process process = new ProcessBuilder(
                        "env",
                        "--default-signal=HUP",
                        System.getProperty("java.home") + "/bin/java",
                        "-cp",
                        System.getProperty("java.class.path"),
                        StartingProcess.class.getName())
                .redirectErrorStream(true)
                .start();
        try (var output = process.inputReader()) {
            assertThat(output.readLine()).contains("starting");
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                    .start()
                    .waitFor();
            process.getOutputStream().close();

            assertThat(output.readLine()).isEqualTo("reloaded");
            assertThat(process.waitFor(START_SECONDS, TimeUnit.SECONDS)).isTrue();
            assertThat(process.exitValue()).isZero();
        } finally {
            process.destroyForcibly();
        }
    }

    /** A process that starts to watch its settings when its input ends. */
    static final class StartingProcess {
        private StartingProcess() {}

        public static void main(final String... arguments) throws Exception {
            ReloadSignal.install();
            System.out.println("starting");
            System.in.read();
            final CountDownLatch reloaded = new CountDownLatch(1);
            ReloadSignal.deliverTo(() -> {
                System.out.println("reloaded");
                reloaded.countDown();
            });
            reloaded.await();
        }
    }
}
