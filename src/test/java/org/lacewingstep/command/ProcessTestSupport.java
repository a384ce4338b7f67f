package org.lacewingstep.command;

import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Callable;

import static org.assertj.core.api.Assertions.assertThat;

/** What tests of a whole process over sockets have in common. */
final class ProcessTestSupport {
    /** Longest wait for a condition, for a busy machine. */
    static final Duration TIMEOUT = Duration.ofSeconds(60);

    private static final long POLL_INTERVAL_MILLISECONDS = 20;

    private ProcessTestSupport() {}

    /** Waits until a condition holds; fails if it does not hold within the timeout. */
    static void await(final Callable<Boolean> condition) throws Exception {
        final Instant end = Instant.now().plus(TIMEOUT);
        while (!condition.call()) {
            assertThat(Instant.now()).isBefore(end);
            Thread.sleep(POLL_INTERVAL_MILLISECONDS);
        }
    }

    /** Finds a port that is free now. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
