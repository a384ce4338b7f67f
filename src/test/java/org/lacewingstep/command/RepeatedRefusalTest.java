package org.lacewingstep.command;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.command.RawUpstream.Exchange;
import org.lacewingstep.command.RawUpstream.Reply;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingstep.command.PlatformTestSite.AGAIN;
import static org.lacewingstep.command.PlatformTestSite.ONCE;
import static org.lacewingstep.command.PlatformTestSite.ONCE_OF_TWO;
import static org.lacewingstep.command.PlatformTestSite.STREAM;
import static org.lacewingstep.command.RawUpstream.chunked;
import static org.lacewingstep.command.RawUpstream.refusal;
import static org.lacewingstep.command.RawUpstream.response;
import static org.lacewingstep.command.RawUpstream.sealed;

/** Tests that a repeated refusal on a kept connection does not count as the answer to a later request. */
class RepeatedRefusalTest {
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    /** Time in which an upstream writes a second part of its reply. */
    private static final long IDLE_MILLISECONDS = 200;

    private static final String UNNAMED = "503 Full\r\nNot-Executed: 1";

    private static PlatformTestSite site;

    @TempDir
    private static Path folder;

    /** A refusal of an earlier request, as a faulty upstream writes it once more. */
    enum Copy {
        OF_ANOTHER_REQUEST(response(refusal("earlier"), "full")),
        WITHOUT_IDENTIFIER(response(UNNAMED, "full")),
        WITHOUT_IDENTIFIER_AND_BODY(response(UNNAMED, "")),
        MISDIRECTED_WITHOUT_IDENTIFIER(response("421 Misdirected", "")),
        TOO_MANY_WITHOUT_IDENTIFIER(response("429 Too Many\r\nNot-Executed: 1", "")),
        CHUNKED_WITHOUT_IDENTIFIER(chunked(UNNAMED, "full")),
        WITHOUT_IDENTIFIER_AND_LENGTH("HTTP/1.1 " + UNNAMED + "\r\n\r\n"),
        CUT_IN_STATUS_LINE("HTTP/1.1 503 Fu"),
        CUT_AFTER_STATUS("HTTP/1.1 421 "),
        CUT_IN_REASON("HTTP/1.1 421 Mis"),
        CUT_IN_HEADER_VALUE("HTTP/1.1 " + UNNAMED + "\r\nDate: Sat"),
        CUT_BEFORE_HEADER_VALUE("HTTP/1.1 " + UNNAMED + "\r\nDate: "),
        CUT_IN_HEADER_NAME("HTTP/1.1 " + UNNAMED + "\r\nConte"),
        CUT_AFTER_HEADER("HTTP/1.1 " + UNNAMED + "\r\n"),
        CUT_AFTER_STATUS_LINE("HTTP/1.1 503 Full\r\n"),
        CUT_IN_BODY("HTTP/1.1 " + UNNAMED + "\r\nContent-Length: 10\r\n\r\nfu");

        private final String bytes;

        Copy(final String bytes) {
            this.bytes = bytes;
        }
    }

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
        final Function<Exchange, Reply> done =
                exchange -> Reply.keepOpen(response(sealed(exchange.identifier()), "done"));
        site.single().respondWith(done);
        site.respondFromPairWith(done);
        assertThat(site.send(ONCE).statusCode()).isEqualTo(200);
        assertThat(site.send(AGAIN).statusCode()).isEqualTo(200);
        site.single().respondWith(done);
        site.respondFromPairWith(done);
    }

    @ParameterizedTest
    @EnumSource(
            names = {
                "OF_ANOTHER_REQUEST",
                "WITHOUT_IDENTIFIER",
                "WITHOUT_IDENTIFIER_AND_BODY",
                "MISDIRECTED_WITHOUT_IDENTIFIER",
                "TOO_MANY_WITHOUT_IDENTIFIER",
                "CHUNKED_WITHOUT_IDENTIFIER"
            })
    void ownResponseIsPassedOnAfterARepeatedRefusal(final Copy copy) throws Exception {
        site.single()
                .respondWith(exchange -> Reply.keepOpen(copy.bytes, response(sealed(exchange.identifier()), "ran")));

        final HttpResponse<String> response = site.send(ONCE);

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("ran");
    }

    @ParameterizedTest
    @EnumSource
    void callThatRanIsNeverReportedAsNotRun(final Copy copy) throws Exception {
        site.single().respondWith(exchange -> Reply.close(copy.bytes, response(sealed(exchange.identifier()), "ran")));

        assertThat(site.send(ONCE).statusCode()).isNotIn(408, 421, 429, 503);
        assertThat(site.single().exchanges()).hasSize(1);
    }

    @ParameterizedTest
    @EnumSource
    void callIsNotRepeatedAfterARepeatedRefusalInsteadOfItsResponse(final Copy copy) throws Exception {
        site.respondFromPairWith(exchange -> Reply.close(copy.bytes));

        final HttpResponse<String> response = site.send(ONCE_OF_TWO);

        assertThat(response.statusCode()).isIn(502, 504);
        assertThat(response.body()).contains("may have run");
        assertThat(site.exchangesOfPair()).hasSize(1);
    }

    @ParameterizedTest
    @EnumSource(names = {"OF_ANOTHER_REQUEST", "WITHOUT_IDENTIFIER"})
    void callThatRunsIsWaitedForAfterARepeatedRefusal(final Copy copy) throws Exception {
        site.single().respondWith(exchange -> Reply.keepOpen(copy.bytes));

        final HttpResponse<String> response = site.send(ONCE);

        assertThat(response.statusCode()).isIn(502, 504);
        assertThat(response.body()).contains("may have run");
    }

    @Test
    void callIsFailedAtOnceAfterARefusalThatTakesUpTheConnection() throws Exception {
        site.single().respondWith(exchange -> Reply.keepOpen(Copy.WITHOUT_IDENTIFIER_AND_LENGTH.bytes));

        final HttpResponse<String> response = site.send(ONCE);

        assertThat(response.statusCode()).isEqualTo(502);
        assertThat(response.body()).contains("may have run");
    }

    @ParameterizedTest
    @EnumSource(names = {"OF_ANOTHER_REQUEST", "WITHOUT_IDENTIFIER"})
    void streamIsPassedOnAfterARepeatedRefusal(final Copy copy) throws Exception {
        site.respondFromPairWith(
                exchange -> Reply.keepOpen(copy.bytes, chunked(sealed(exchange.identifier()), EVENTS)));

        assertThat(site.send(STREAM).body()).isEqualTo(EVENTS);
        assertThat(site.exchangesOfPair()).hasSize(1);
    }

    @ParameterizedTest
    @EnumSource
    void refusalRepeatedAfterAResponseDoesNotReachTheNextCall(final Copy copy) throws Exception {
        final AtomicInteger calls = new AtomicInteger();
        site.single().respondWith(exchange -> {
            final String own = response(sealed(exchange.identifier()), "ran");
            return calls.getAndIncrement() == 0 ? Reply.keepOpen(own + copy.bytes) : Reply.keepOpen(own);
        });

        assertThat(site.send(ONCE).body()).isEqualTo("ran");
        final HttpResponse<String> next = site.send(ONCE);

        assertThat(next.statusCode()).isNotIn(408, 421, 429, 503);
        assertThat(site.send(ONCE).body()).isEqualTo("ran");
    }

    @ParameterizedTest
    @EnumSource(names = {"OF_ANOTHER_REQUEST", "WITHOUT_IDENTIFIER", "WITHOUT_IDENTIFIER_AND_LENGTH"})
    void refusalRepeatedOnAnIdleConnectionClosesIt(final Copy copy) throws Exception {
        final AtomicInteger calls = new AtomicInteger();
        site.single().respondWith(exchange -> {
            final String own = response(sealed(exchange.identifier()), "ran");
            return calls.getAndIncrement() == 0 ? Reply.keepOpen(own, copy.bytes) : Reply.keepOpen(own);
        });
        assertThat(site.send(ONCE).body()).isEqualTo("ran");
        Thread.sleep(IDLE_MILLISECONDS);

        assertThat(site.send(ONCE).body()).isEqualTo("ran");
        assertThat(site.single().exchanges().getLast().number()).isOne();
    }

    @Test
    void ownRefusalIsReportedAsNotRun() throws Exception {
        site.single().respondWith(exchange -> Reply.keepOpen(response(refusal(exchange.identifier()), "")));

        final HttpResponse<String> response = site.send(ONCE);

        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.body()).contains("not run");
    }

    @ParameterizedTest
    @ValueSource(strings = {"408 Timeout", "429 Too Many", "503 Unavailable"})
    void failureThatDoesNotStateNotExecutedIsReportedAsMayHaveRun(final String status) throws Exception {
        site.single()
                .respondWith(exchange ->
                        Reply.keepOpen(response(status + "\r\nRequest-Id: " + exchange.identifier(), "failed")));

        final HttpResponse<String> response = site.send(ONCE);

        assertThat(response.statusCode()).isEqualTo(502);
        assertThat(response.body()).contains("may have run");
    }

    @Test
    void connectionOfARepeatedRefusalIsNotUsedAgain() throws Exception {
        site.single()
                .respondWith(exchange ->
                        Reply.keepOpen(Copy.WITHOUT_IDENTIFIER.bytes + response(sealed(exchange.identifier()), "ran")));

        site.send(ONCE);
        site.send(ONCE);

        assertThat(site.single().exchanges().getLast().number()).isOne();
    }
}
