package org.lacewingstep.command;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lacewingstep.command.RawUpstream.Reply;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingstep.command.PlatformTestSite.ONCE;
import static org.lacewingstep.command.ProcessTestSupport.await;

/** Tests over sockets that a planned stop leaves no request that the process has read without an answer. */
class PlannedStopTest {
    private static final Duration DEADLINE = Duration.ofSeconds(20);

    private PlatformTestSite site;

    @TempDir
    private Path folder;

    @BeforeEach
    void start() throws Exception {
        site = new PlatformTestSite(folder);
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
    }

    /** A request may outlast the grace period, at whose end its connection was closed without an answer. */
    @Test
    void requestThatOutlastsTheGracePeriodIsAnswered() throws Exception {
        site.single().respondWith(exchange -> {
            sleep(DEADLINE);
            return Reply.close("");
        });
        final CompletableFuture<String> response = CompletableFuture.supplyAsync(() -> exchange(DEADLINE));
        await(() -> !site.single().exchanges().isEmpty());

        site.requestStop();
        site.awaitStop();

        assertThat(response.get()).startsWith("HTTP/1.1 502").contains("may have run");
    }

    private static void sleep(final Duration time) {
        try {
            Thread.sleep(time);
        } catch (final InterruptedException interruption) {
            Thread.currentThread().interrupt();
        }
    }

    private String exchange(final Duration deadline) {
        try (Socket socket = site.connect()) {
            socket.getOutputStream().write(site.request(ONCE, deadline));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (final IOException failure) {
            return failure.toString();
        }
    }
}
