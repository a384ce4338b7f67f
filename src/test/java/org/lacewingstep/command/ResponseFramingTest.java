package org.lacewingstep.command;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.function.BiFunction;
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
import static org.lacewingstep.command.PlatformTestSite.AGAIN;
import static org.lacewingstep.command.PlatformTestSite.ENGINE;
import static org.lacewingstep.command.PlatformTestSite.ONCE;
import static org.lacewingstep.command.PlatformTestSite.STREAM;
import static org.lacewingstep.command.RawUpstream.chunked;
import static org.lacewingstep.command.RawUpstream.refusal;
import static org.lacewingstep.command.RawUpstream.response;
import static org.lacewingstep.command.RawUpstream.sealed;

/** Tests that a response which ends with its connection is complete only if nothing of it is missing. */
class ResponseFramingTest {
    private static final String EVENT_1 = "id: 1\ndata: a\n\n";
    private static final String EVENT_2 = "id: 2\ndata: b\n\n";

    private static PlatformTestSite site;

    @TempDir
    private static Path folder;

    /** The end of a head, and thereby the framing of the response. */
    enum Framing {
        CONNECTION((head, body) -> "HTTP/1.1 " + head + "\r\n\r\n" + body),
        CONNECTION_CLOSE((head, body) -> "HTTP/1.1 " + head + "\r\nConnection: close\r\n\r\n" + body),
        KEEP_ALIVE_WITHOUT_LENGTH((head, body) ->
                "HTTP/1.1 " + head + "\r\nConnection: keep-alive\r\nKeep-Alive: timeout=5\r\n\r\n" + body),
        HTTP_1_0((head, body) -> "HTTP/1.0 " + head + "\r\n\r\n" + body),
        HTTP_1_0_WITH_LENGTH(
                (head, body) -> "HTTP/1.0 " + head + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body),
        LENGTH_AND_CLOSE((head, body) ->
                "HTTP/1.1 " + head + "\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);

        private final BiFunction<String, String, String> format;

        Framing(final BiFunction<String, String, String> format) {
            this.format = format;
        }

        private String format(final String statusAndHeaders, final String body) {
            return format.apply(statusAndHeaders, body);
        }
    }

    /** A response without a length or with more length than bytes, which is not complete. */
    enum Broken {
        RESET_AFTER_HEAD(identifier -> Reply.reset(Framing.CONNECTION.format(sealed(identifier), ""))),
        RESET_IN_BODY(identifier -> Reply.reset(Framing.CONNECTION.format(sealed(identifier), "do"))),
        RESET_IN_HTTP_1_0_BODY(identifier -> Reply.reset(Framing.HTTP_1_0.format(sealed(identifier), "do"))),
        CLOSE_IN_HEAD(identifier -> Reply.close("HTTP/1.1 " + sealed(identifier) + "\r\n")),
        CLOSE_IN_HTTP_1_0_HEAD(identifier -> Reply.close("HTTP/1.0 " + sealed(identifier) + "\r\nDate: x")),
        CLOSE_WITH_SHORT_LENGTH(
                identifier -> Reply.close("HTTP/1.1 " + sealed(identifier) + "\r\nContent-Length: 9\r\n\r\ndone")),
        CLOSE_IN_CHUNK(identifier ->
                Reply.close("HTTP/1.1 " + sealed(identifier) + "\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndone")),
        CLOSE_BEFORE_LAST_CHUNK(identifier ->
                Reply.close("HTTP/1.1 " + sealed(identifier) + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n")),
        RESET_AFTER_REFUSAL(identifier -> Reply.reset(Framing.CONNECTION.format(refusal(identifier), "fu"))),
        CLOSE_IN_REFUSAL(
                identifier -> Reply.close("HTTP/1.1 " + refusal(identifier) + "\r\nContent-Length: 9\r\n\r\nfull"));

        private final Function<String, Reply> reply;

        Broken(final Function<String, Reply> reply) {
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
    void bodyThatEndsWithItsConnectionIsPassedOn(final Framing framing) throws Exception {
        site.single().respondWith(exchange -> Reply.close(framing.format(sealed(exchange.identifier()), "done")));

        final HttpResponse<String> response = site.send(ONCE);

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("done");
    }

    @ParameterizedTest
    @EnumSource
    void refusalThatEndsWithItsConnectionIsReportedAsNotRun(final Framing framing) throws Exception {
        site.single().respondWith(exchange -> Reply.close(framing.format(refusal(exchange.identifier()), "full")));

        assertThat(site.send(ONCE).statusCode()).isEqualTo(503);
    }

    @ParameterizedTest
    @EnumSource
    void incompleteResponseIsReportedAsMayHaveRun(final Broken broken) throws Exception {
        site.single().respondWith(exchange -> broken.reply.apply(exchange.identifier()));

        final HttpResponse<String> response = site.send(ONCE);

        assertThat(response.statusCode()).isEqualTo(502);
        assertThat(response.body()).contains("may have run");
    }

    @ParameterizedTest
    @EnumSource
    void callThatMayRunAgainIsSentAgainAfterAnIncompleteResponse(final Broken broken) throws Exception {
        site.respondFromPairWith(exchange -> site.exchangesOfPair().size() == 1
                ? broken.reply.apply(exchange.identifier())
                : Reply.keepOpen(response(sealed(exchange.identifier()), "done")));

        assertThat(site.send(AGAIN).body()).isEqualTo("done");
        assertThat(site.exchangesOfPair()).hasSize(2);
    }

    @ParameterizedTest
    @EnumSource
    void streamThatEndsWithItsConnectionIsCompleteAndInChunks(final Framing framing) throws Exception {
        site.respondFromPairWith(
                exchange -> Reply.close(framing.format(sealed(exchange.identifier()), EVENT_1 + EVENT_2)));

        final String response = site.exchangeRaw(STREAM);

        assertThat(response)
                .startsWith("HTTP/1.1 200")
                .containsIgnoringCase("transfer-encoding: chunked")
                .contains(EVENT_1 + EVENT_2)
                .endsWith("0\r\n\r\n");
        assertThat(site.exchangesOfPair()).hasSize(1);
    }

    @Test
    void eventsOfAStreamWithoutLengthAreForwardedAsTheyArrive() throws Exception {
        site.respondFromPairWith(exchange -> Reply.close(
                Framing.CONNECTION.format(sealed(exchange.identifier()), EVENT_1),
                EVENT_2.substring(0, 7),
                EVENT_2.substring(7)));

        assertThat(site.send(STREAM).body()).isEqualTo(EVENT_1 + EVENT_2);
    }

    @ParameterizedTest
    @EnumSource(names = {"CONNECTION", "CONNECTION_CLOSE", "KEEP_ALIVE_WITHOUT_LENGTH", "HTTP_1_0"})
    void streamThatEndsInsideAnEventIsContinued(final Framing framing) throws Exception {
        site.respondFromPairWith(exchange -> Reply.close(framing.format(
                sealed(exchange.identifier()), isFirstAttempt(exchange) ? EVENT_1 + "id: 2\ndata: b\n" : EVENT_2)));

        assertThat(site.send(STREAM).body()).isEqualTo(EVENT_1 + EVENT_2);
        assertThat(site.exchangesOfPair()).hasSize(2);
    }

    @ParameterizedTest
    @EnumSource(names = {"CONNECTION", "CONNECTION_CLOSE", "KEEP_ALIVE_WITHOUT_LENGTH", "HTTP_1_0"})
    void streamThatAlwaysEndsInsideAnEventHasNoLastChunk(final Framing framing) throws Exception {
        site.respondFromPairWith(exchange -> Reply.close(framing.format(
                sealed(exchange.identifier()), (isFirstAttempt(exchange) ? EVENT_1 : "") + "id: 2\nda")));

        assertThat(site.exchangeRaw(STREAM))
                .contains(EVENT_1)
                .doesNotContain("id: 2")
                .doesNotEndWith("0\r\n\r\n");
    }

    @Test
    void streamThatIsResetBetweenEventsIsContinued() throws Exception {
        site.respondFromPairWith(exchange -> isFirstAttempt(exchange)
                ? Reply.reset(Framing.CONNECTION.format(sealed(exchange.identifier()), EVENT_1), "\n")
                : Reply.keepOpen(chunked(sealed(exchange.identifier()), EVENT_2)));

        assertThat(site.send(STREAM).body()).contains(EVENT_1).endsWith(EVENT_2);
        assertThat(site.exchangesOfPair()).hasSize(2);
    }

    @Test
    void responsesOfEnginesMayEndWithTheirConnection() throws Exception {
        site.prefill()
                .respondWith(exchange -> Reply.close(Framing.CONNECTION.format(
                        "200 OK\r\nRequest-Id: " + exchange.identifier(),
                        "{\"kvHandle\":\"k\",\"tokens\":10,\"version\":1}")));
        site.decode()
                .respondWith(exchange -> Reply.close(
                        exchange.request().path().startsWith("/hold-take")
                                ? Framing.CONNECTION.format("200 OK", "{\"hold\":\"h\"}")
                                : Framing.CONNECTION.format(sealed(exchange.identifier()), EVENT_1)));

        assertThat(site.send(ENGINE).body()).isEqualTo(EVENT_1);
        assertThat(site.decode().exchanges().getLast().request().headers())
                .containsEntry("kv-hold", "h")
                .hasEntrySatisfying("kv-source", source -> assertThat(source).endsWith("/k"));
    }

    private static boolean isFirstAttempt(final Exchange exchange) {
        return !exchange.request().headers().containsKey("last-event-id");
    }
}
