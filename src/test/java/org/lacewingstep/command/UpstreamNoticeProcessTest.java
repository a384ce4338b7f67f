package org.lacewingstep.command;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lacewingstep.command.RawUpstream.Reply;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingstep.command.PlatformTestSite.AGAIN;
import static org.lacewingstep.command.PlatformTestSite.ONCE;
import static org.lacewingstep.command.PlatformTestSite.STREAM;
import static org.lacewingstep.command.ProcessTestSupport.await;
import static org.lacewingstep.command.RawUpstream.chunked;
import static org.lacewingstep.command.RawUpstream.refusal;
import static org.lacewingstep.command.RawUpstream.response;
import static org.lacewingstep.command.RawUpstream.sealed;

/** Tests over sockets that upstreams which leave or ask for a pause receive nothing new, also without the store. */
class UpstreamNoticeProcessTest {
    private static final String EVENT_1 = "id: 1\ndata: a\n\n";
    private static final String EVENT_2 = "id: 2\ndata: b\n\n";
    private static final Duration PAUSE = Duration.ofMillis(1500);

    /** Time after a refusal in which requests that were on their way may still arrive. */
    private static final Duration TRANSIT_TIME = Duration.ofMillis(500);

    private static final int ARRIVALS_ALLOWED = 2;

    /** Requests per second that an upstream takes, and the time in which the arrivals are counted. */
    private static final double LIMIT = 2;

    private static final Duration LIMIT_WINDOW = Duration.ofSeconds(4);
    private static final int CALLERS = 8;

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

    /** The head of a stream says that the upstream leaves; the stream itself is finished there. */
    @Test
    void upstreamThatLeavesInAStreamReceivesNothingNewWhileTheStoreIsDown() throws Exception {
        site.closeStore();
        site.respondFromPairWith(exchange ->
                Reply.keepOpen(chunked(sealed(exchange.identifier()) + "\r\nServer-Leaving: 1", EVENT_1 + EVENT_2)));
        final String stream = site.exchangeRaw(STREAM);
        assertThat(stream).containsIgnoringCase("server-leaving: 1").contains(EVENT_2);
        final RawUpstream leaving = site.pair().stream()
                .filter(upstream -> !upstream.exchanges().isEmpty())
                .findFirst()
                .orElseThrow();
        site.respondFromPairWith(exchange -> Reply.keepOpen(response(sealed(exchange.identifier()), "done")));

        for (int i = 0; i < 20; i++) {
            assertThat(site.send(AGAIN).body()).isEqualTo("done");
        }

        assertThat(leaving.exchanges()).isEmpty();
    }

    /** Callers press on while the only upstream of a service has refused them for a time. */
    @Test
    void upstreamThatNamesATimeOfReturnReceivesNothingUntilThen() throws Exception {
        final AtomicReference<Instant> refusedAt = new AtomicReference<>();
        final Queue<Instant> arrivals = new ConcurrentLinkedQueue<>();
        site.single().respondWith(exchange -> {
            arrivals.add(Instant.now());
            refusedAt.compareAndSet(null, Instant.now());
            return Reply.keepOpen(response(refusal(exchange.identifier()) + "\r\nRetry-After: 1.5", ""));
        });
        final List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(CompletableFuture.runAsync(
                    () -> pressUntilThePauseEnds(refusedAt), task -> new Thread(task).start()));
        }
        for (final CompletableFuture<Void> caller : callers) {
            caller.get();
        }

        final Instant first = refusedAt.get();
        assertThat(arrivals.stream()
                        .filter(at -> at.isAfter(first.plus(TRANSIT_TIME)) && at.isBefore(first.plus(PAUSE))))
                .hasSizeLessThanOrEqualTo(ARRIVALS_ALLOWED);
        site.single().respondWith(exchange -> Reply.keepOpen(response(sealed(exchange.identifier()), "done")));
        await(() -> site.send(ONCE).statusCode() == 200);
    }

    @Test
    void upstreamThatNamesALimitReceivesNoMoreUntilAResponseNamesNone() throws Exception {
        final AtomicReference<Instant> limitedAt = new AtomicReference<>();
        final Queue<Instant> arrivals = new ConcurrentLinkedQueue<>();
        site.single().respondWith(exchange -> {
            arrivals.add(Instant.now());
            limitedAt.compareAndSet(null, Instant.now());
            return Reply.keepOpen(response(sealed(exchange.identifier()) + "\r\nServer-Limit: " + LIMIT, "done"));
        });
        final List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(CompletableFuture.runAsync(() -> press(limitedAt), task -> new Thread(task).start()));
        }
        for (final CompletableFuture<Void> caller : callers) {
            caller.get();
        }

        final Instant first = limitedAt.get().plus(TRANSIT_TIME);
        assertThat(arrivals.stream().filter(at -> at.isAfter(first) && at.isBefore(first.plus(LIMIT_WINDOW))))
                .hasSizeLessThanOrEqualTo((int) (1.5 * LIMIT * LIMIT_WINDOW.toSeconds() + 5));
        site.single().respondWith(exchange -> Reply.keepOpen(response(sealed(exchange.identifier()), "done")));
        await(() -> site.send(ONCE).statusCode() == 200);
        for (int i = 0; i < 20; i++) {
            assertThat(site.send(ONCE).statusCode()).isEqualTo(200);
        }
    }

    private void press(final AtomicReference<Instant> limitedAt) {
        try {
            while (limitedAt.get() == null
                    || Instant.now().isBefore(limitedAt.get().plus(TRANSIT_TIME).plus(LIMIT_WINDOW))) {
                assertThat(site.send(ONCE).statusCode()).isIn(200, 503);
            }
        } catch (final Exception failure) {
            throw new IllegalStateException(failure);
        }
    }

    private void pressUntilThePauseEnds(final AtomicReference<Instant> refusedAt) {
        try {
            while (refusedAt.get() == null
                    || Instant.now().isBefore(refusedAt.get().plus(PAUSE))) {
                assertThat(site.send(ONCE).statusCode()).isEqualTo(503);
            }
        } catch (final Exception failure) {
            throw new IllegalStateException(failure);
        }
    }
}
