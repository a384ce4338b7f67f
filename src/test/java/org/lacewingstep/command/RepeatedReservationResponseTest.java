package org.lacewingstep.command;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lacewingstep.command.RawUpstream.Exchange;
import org.lacewingstep.command.RawUpstream.Reply;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingstep.command.PlatformTestSite.ENGINE;
import static org.lacewingstep.command.RawUpstream.chunked;
import static org.lacewingstep.command.RawUpstream.refusal;
import static org.lacewingstep.command.RawUpstream.response;
import static org.lacewingstep.command.RawUpstream.sealed;

/** Tests that repeated responses of engines to reservations and prefill requests do not change what callers get. */
class RepeatedReservationResponseTest {
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String HANDLE = "{\"kvHandle\":\"k\",\"tokens\":10,\"version\":1}";
    private static final String NO_MEMORY = response("503 Full\r\nNot-Executed: 1", "");

    private static PlatformTestSite site;

    private final AtomicInteger holds = new AtomicInteger();

    @TempDir
    private static Path folder;

    @BeforeAll
    static void start() throws Exception {
        site = new PlatformTestSite(folder);
    }

    @AfterAll
    static void stop() throws Exception {
        site.close();
    }

    @BeforeEach
    void openKeptConnections() throws Exception {
        site.prefill().respondWith(RepeatedReservationResponseTest::prefill);
        site.decode().respondWith(exchange -> Reply.keepOpen(decode(exchange)));
        assertThat(site.send(ENGINE).body()).isEqualTo(EVENTS);
        site.prefill().exchanges().clear();
        site.decode().exchanges().clear();
    }

    @Test
    void refusedReservationThatIsRepeatedBeforeAStreamIsNotItsAnswer() throws Exception {
        site.decode()
                .respondWith(exchange -> isReservation(exchange)
                        ? Reply.keepOpen(decode(exchange))
                        : Reply.keepOpen(NO_MEMORY, decode(exchange)));

        final HttpResponse<String> response = site.send(ENGINE);

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo(EVENTS);
        assertThat(streams()).hasSize(1);
    }

    @Test
    void refusedReservationThatIsRepeatedBeforeAReservationOnlyDelaysTheStream() throws Exception {
        final AtomicInteger copies = new AtomicInteger();
        site.decode()
                .respondWith(exchange -> isReservation(exchange) && copies.getAndIncrement() == 0
                        ? Reply.keepOpen(NO_MEMORY, decode(exchange))
                        : Reply.keepOpen(decode(exchange)));

        assertThat(site.send(ENGINE).body()).isEqualTo(EVENTS);
        assertThat(streams()).hasSize(1);
    }

    @Test
    void releaseThatIsRepeatedBeforeAReservationOnlyDelaysTheStream() throws Exception {
        final AtomicInteger copies = new AtomicInteger();
        site.decode()
                .respondWith(exchange -> isReservation(exchange) && copies.getAndIncrement() == 0
                        ? Reply.keepOpen(response("200 OK", "{}"), decode(exchange))
                        : Reply.keepOpen(decode(exchange)));

        assertThat(site.send(ENGINE).body()).isEqualTo(EVENTS);
        assertThat(streams()).hasSize(1);
    }

    @Test
    void streamWhoseRepeatedReservationTheEngineRefusesIsReportedAsNotRun() throws Exception {
        site.decode()
                .respondWith(exchange -> Reply.keepOpen(
                        isReservation(exchange)
                                ? response("200 OK", "{\"hold\":\"of-another-call\"}")
                                : response(refusal(exchange.identifier()), "")));

        final HttpResponse<String> response = site.send(ENGINE);

        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.body()).contains("not run");
        assertThat(streams()).hasSize(1);
    }

    @Test
    void refusedReservationThatIsRepeatedBeforeAPrefillResponseIsSkipped() throws Exception {
        site.prefill()
                .respondWith(exchange ->
                        Reply.keepOpen(NO_MEMORY, prefill(exchange).parts().getFirst()));

        assertThat(site.send(ENGINE).body()).isEqualTo(EVENTS);
        assertThat(streams().getFirst().request().headers().get("kv-source")).endsWith("/k");
    }

    @Test
    void refusedPrefillThatIsRepeatedOnItsConnectionDoesNotReachTheStream() throws Exception {
        site.prefill().respondWith(exchange -> {
            final String refused = response(refusal(exchange.identifier()), "");
            return Reply.keepOpen(refused, refused);
        });

        assertThat(site.send(ENGINE).body()).isEqualTo(EVENTS);
        assertThat(streams()).hasSize(1);
    }

    private static boolean isReservation(final Exchange exchange) {
        return exchange.request().path().startsWith("/hold-take");
    }

    private static List<Exchange> streams() {
        return site.decode().exchanges().stream()
                .filter(exchange -> exchange.request().path().startsWith("/engine/"))
                .toList();
    }

    private static Reply prefill(final Exchange exchange) {
        return Reply.keepOpen(response("200 OK\r\nRequest-Id: " + exchange.identifier(), HANDLE));
    }

    private String decode(final Exchange exchange) {
        if (isReservation(exchange)) {
            return response("200 OK", "{\"hold\":\"h" + holds.incrementAndGet() + "\"}");
        }
        return exchange.request().path().startsWith("/hold-drop")
                ? response("200 OK", "{}")
                : chunked(sealed(exchange.identifier()), EVENTS);
    }
}
