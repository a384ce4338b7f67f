package org.lacewingstep.command;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Function;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lacewingstep.command.RawUpstream.Exchange;
import org.lacewingstep.command.RawUpstream.Reply;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingstep.command.PlatformTestSite.STREAM;
import static org.lacewingstep.command.RawUpstream.chunked;
import static org.lacewingstep.command.RawUpstream.refusal;
import static org.lacewingstep.command.RawUpstream.response;
import static org.lacewingstep.command.RawUpstream.sealed;
import static org.lacewingstep.command.RawUpstream.unfinished;

/** Tests that a caller whose stream broke off gets nothing but the events that follow, or a closed connection. */
class ResumedStreamTest {
    private static final String EVENT_1 = "id: 1\ndata: a\n\n";
    private static final String EVENT_2 = "id: 2\ndata: b\n\n";
    private static final String EVENT_3 = "id: 3\ndata: c\n\n";
    private static final String TEXT = "the upstream failed\n\nsee the log\n\n";

    private static PlatformTestSite site;

    @TempDir
    private static Path folder;

    /** The response of the next upstream, which does not continue the stream. */
    enum NextResponse {
        SERVER_ERROR(identifier -> Reply.keepOpen(response("500 Error\r\nRequest-Id: " + identifier, TEXT))),
        SERVER_ERROR_WITHOUT_LENGTH(
                identifier -> Reply.close("HTTP/1.1 500 Error\r\nRequest-Id: " + identifier + "\r\n\r\n" + TEXT)),
        SERVER_ERROR_WITH_SEAL(identifier ->
                Reply.keepOpen(response("500 Error\r\nResponse-Seal: s\r\nRequest-Id: " + identifier, TEXT))),
        REFUSED(identifier -> Reply.keepOpen(response(refusal(identifier), TEXT))),
        NOT_FOUND(identifier -> Reply.keepOpen(response("404 Not Found\r\nRequest-Id: " + identifier, TEXT))),
        WITHOUT_SEAL(identifier -> Reply.keepOpen(chunked("200 OK\r\nRequest-Id: " + identifier, EVENT_2))),
        INFORMATIONAL_FIRST(identifier -> Reply.keepOpen(
                "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n", response("500 Error\r\nRequest-Id: " + identifier, TEXT))),
        CUT_IN_HEAD(identifier -> Reply.close("HTTP/1.1 200 OK\r\nRequest-Id: " + identifier + "\r\nResp")),
        CUT_IN_ERROR_HEAD(identifier -> Reply.close("HTTP/1.1 500 Error\r\nRequest-")),
        RESET_IN_HEAD(identifier -> Reply.reset("HTTP/1.1 200 OK\r\nRequest-Id: " + identifier + "\r\nResp")),
        TEXT_WITH_SEAL(identifier -> Reply.keepOpen(response(sealed(identifier), TEXT))),
        OTHER_CONTENT_TYPE(identifier -> Reply.keepOpen(
                response(sealed(identifier) + "\r\nContent-Type: application/json", "{\"error\":\"x\"}\n\n"))),
        STARTED_OVER(identifier -> Reply.keepOpen(chunked(sealed(identifier), EVENT_1 + EVENT_2))),
        LAST_EVENT_REPEATED(identifier -> Reply.keepOpen(chunked(sealed(identifier), EVENT_1))),
        STARTED_OVER_WITHOUT_LENGTH(
                identifier -> Reply.close("HTTP/1.1 " + sealed(identifier) + "\r\n\r\n" + EVENT_1 + EVENT_2));

        private final Function<String, Reply> reply;

        NextResponse(final Function<String, Reply> reply) {
            this.reply = reply;
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

    @ParameterizedTest
    @EnumSource
    void streamThatIsNotContinuedIsCutWithoutForeignBytes(final NextResponse next) throws Exception {
        respond(EVENT_1 + "id: 2\nda", next.reply);

        final String response = site.exchangeRaw(STREAM);

        assertThat(body(response)).isEqualTo(chunk(EVENT_1));
        assertThat(response).containsOnlyOnce("HTTP/1.1");
        assertThat(site.exchangesOfPair()).hasSize(2);
    }

    @Test
    void emptyResponseWithoutLengthDoesNotCompleteAStream() throws Exception {
        respond(EVENT_1, identifier -> Reply.close("HTTP/1.1 " + sealed(identifier) + "\r\n\r\n"));

        assertThat(body(site.exchangeRaw(STREAM))).isEqualTo(chunk(EVENT_1));
    }

    @Test
    void streamThatStartsOverIsBrokenOffBeforeTheDeadline() throws Exception {
        respond(EVENT_1, identifier -> Reply.keepOpen(unfinished(sealed(identifier), EVENT_1)));
        final Instant sentAt = Instant.now();

        assertThat(body(site.exchangeRaw(STREAM))).isEqualTo(chunk(EVENT_1));
        assertThat(Duration.between(sentAt, Instant.now())).isLessThan(PlatformTestSite.DEADLINE);
    }

    @Test
    void emptyResponseWithALengthCompletesAStreamAfterItsLastEvent() throws Exception {
        respond(EVENT_1, identifier -> Reply.keepOpen(response(sealed(identifier), "")));

        assertThat(site.send(STREAM).body()).isEqualTo(EVENT_1);
    }

    @Test
    void streamThatIsContinuedIsComplete() throws Exception {
        respond(EVENT_1 + "id: 2\nda", identifier -> Reply.keepOpen(chunked(sealed(identifier), EVENT_2 + EVENT_3)));

        assertThat(site.send(STREAM).body()).isEqualTo(EVENT_1 + EVENT_2 + EVENT_3);
    }

    @Test
    void streamThatIsContinuedAfterAnInformationalResponseIsComplete() throws Exception {
        respond(
                EVENT_1,
                identifier ->
                        Reply.keepOpen("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n", chunked(sealed(identifier), EVENT_2)));

        assertThat(site.send(STREAM).body()).isEqualTo(EVENT_1 + EVENT_2);
    }

    @Test
    void streamWhoseEventsHaveNoIdentifierIsNotJoinedWithASecondRun() throws Exception {
        final String event = "data: a\n\n";
        site.respondFromPairWith(exchange -> site.exchangesOfPair().size() == 1
                ? Reply.close(unfinished(sealed(exchange.identifier()), event))
                : Reply.keepOpen(chunked(sealed(exchange.identifier()), event + event)));

        assertThat(body(site.exchangeRaw(STREAM))).isEqualTo(chunk(event));
    }

    @Test
    void streamThatACallerResumesDoesNotStartOver() throws Exception {
        site.respondFromPairWith(
                exchange -> Reply.keepOpen(chunked(sealed(exchange.identifier()), EVENT_1 + EVENT_2 + EVENT_3)));

        assertThat(site.exchangeRaw(STREAM, "Last-Event-Id: 2\r\n"))
                .startsWith("HTTP/1.1 502")
                .doesNotContain("data:");
    }

    @Test
    void errorAfterTheEventsOfAStreamWithoutLengthIsNotForwarded() throws Exception {
        site.respondFromPairWith(exchange -> Reply.close("HTTP/1.1 " + sealed(exchange.identifier()) + "\r\n\r\n"
                + (exchange.request().headers().containsKey("last-event-id") ? "" : EVENT_1)
                + "HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\nfail"));

        final String response = site.exchangeRaw(STREAM);

        assertThat(body(response)).isEqualTo(chunk(EVENT_1));
        assertThat(response).containsOnlyOnce("HTTP/1.1");
    }

    @Test
    void errorAfterAChunkOfAStreamIsNotForwarded() throws Exception {
        site.respondFromPairWith(exchange -> Reply.close(
                exchange.request().headers().containsKey("last-event-id")
                        ? response("500 Error\r\nRequest-Id: " + exchange.identifier(), TEXT)
                        : unfinished(sealed(exchange.identifier()), EVENT_1)
                                + response("500 Error\r\nRequest-Id: " + exchange.identifier(), TEXT)));

        final String response = site.exchangeRaw(STREAM);

        assertThat(body(response)).isEqualTo(chunk(EVENT_1));
        assertThat(response).containsOnlyOnce("HTTP/1.1");
    }

    /** Lets the first attempt break off after some events and the next one answer otherwise. */
    private static void respond(final String begun, final Function<String, Reply> next) {
        site.respondFromPairWith(exchange -> isFirstAttempt(exchange)
                ? Reply.close(unfinished(sealed(exchange.identifier()), begun))
                : next.apply(exchange.identifier()));
    }

    private static boolean isFirstAttempt(final Exchange exchange) {
        return !exchange.request().headers().containsKey("last-event-id");
    }

    private static String body(final String response) {
        return response.substring(response.indexOf("\r\n\r\n") + "\r\n\r\n".length());
    }

    private static String chunk(final String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}
