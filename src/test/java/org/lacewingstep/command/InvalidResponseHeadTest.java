package org.lacewingstep.command;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.command.RawUpstream.Exchange;
import org.lacewingstep.command.RawUpstream.Reply;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingstep.command.PlatformTestSite.AGAIN;
import static org.lacewingstep.command.PlatformTestSite.ENGINE;
import static org.lacewingstep.command.PlatformTestSite.ONCE;
import static org.lacewingstep.command.PlatformTestSite.STREAM;
import static org.lacewingstep.command.ProcessTestSupport.await;
import static org.lacewingstep.command.RawUpstream.chunked;
import static org.lacewingstep.command.RawUpstream.response;
import static org.lacewingstep.command.RawUpstream.sealed;

/**
 * Tests that a response whose head is not valid HTTP never reaches a caller, over real sockets. An upstream in trouble
 * sends such heads, and a lenient parser turns them into another status, other fields or a body of another length.
 */
class InvalidResponseHeadTest {
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String HANDLE = "{\"kvHandle\":\"k\",\"tokens\":10,\"version\":1}";
    private static final String RESERVATION = "{\"hold\":\"h\"}";

    private static PlatformTestSite site;

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

    /** Starts of a head, after the version: the status, and fields for the first lines. */
    static List<String> invalidHeads() {
        final List<String> statuses = List.of(
                "000 OK", "0 OK", "1 OK", "20 OK", "99 OK", "600 OK", "999 OK", "1000 OK", "0200 OK", "+200 OK",
                "20 0 OK");
        final Stream<String> fields = Stream.of(
                        "Na me: v",
                        "Name : v",
                        "Na\tme: v",
                        "Name\t: v",
                        " Name: v",
                        "\tName: v",
                        "Name v",
                        "Content-Length x: 2",
                        "Content-Length : 2",
                        "Transfer-Encoding x: chunked",
                        "Na\u0000me: v",
                        "Na\u0001me: v",
                        "Na\u000bme: v",
                        "Na\rme: v",
                        "Na\u001fme: v",
                        "Na\u007fme: v",
                        "Na\u0080me: v")
                .map(field -> "200 OK\r\nServer: s\r\n" + field);
        return Stream.concat(statuses.stream(), fields).toList();
    }

    /** Invalid heads that a lenient parser takes for those of a success. */
    static List<String> invalidHeadsOfSuccesses() {
        return List.of("0200 OK", "200 OK\r\nServer: s\r\nNa me: v", "200 OK\r\nServer: s\r\n Name: v");
    }

    @ParameterizedTest
    @MethodSource("invalidHeads")
    void callWithAnInvalidResponseIsReportedAsMayHaveRun(final String head) throws Exception {
        site.single().respondWith(exchange -> Reply.close(invalid(head, exchange)));

        final HttpResponse<String> response = site.send(ONCE);

        assertThat(response.statusCode()).isEqualTo(502);
        assertThat(response.body()).contains("may have run");
        assertThat(site.single().exchanges()).hasSize(1);
    }

    @ParameterizedTest
    @MethodSource("invalidHeads")
    void callThatMayRunAgainIsSentAgainAfterAnInvalidResponse(final String head) throws Exception {
        site.respondFromPairWith(exchange -> site.exchangesOfPair().size() == 1
                ? Reply.close(invalid(head, exchange))
                : Reply.keepOpen(response(sealed(exchange.identifier()), "done")));

        final HttpResponse<String> response = site.send(AGAIN);

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("done");
        assertThat(site.exchangesOfPair()).hasSize(2);
    }

    @ParameterizedTest
    @MethodSource("invalidHeads")
    void streamIsSentAgainAfterAnInvalidResponse(final String head) throws Exception {
        site.respondFromPairWith(exchange -> site.exchangesOfPair().size() == 1
                ? Reply.close(withHead(head, exchange, "id: 1\ndata: broken\n\n"))
                : Reply.keepOpen(chunked(sealed(exchange.identifier()), EVENTS)));

        final HttpResponse<String> response = site.send(STREAM);

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo(EVENTS);
        assertThat(site.exchangesOfPair()).hasSize(2);
    }

    @ParameterizedTest
    @MethodSource("invalidHeadsOfSuccesses")
    void promptFromAnInvalidResponseIsNotUsed(final String head) throws Exception {
        awaitSoundEngines();
        site.prefill().respondWith(exchange -> Reply.close(withHead(head, exchange, HANDLE)));

        assertThat(site.send(ENGINE).body()).isEqualTo(EVENTS);
        assertThat(site.prefill().exchanges()).hasSize(1);
        assertThat(site.decode().exchanges().getLast().request().headers()).doesNotContainKey("kv-source");
    }

    @ParameterizedTest
    @MethodSource("invalidHeadsOfSuccesses")
    void memoryFromAnInvalidResponseIsNotUsed(final String head) throws Exception {
        awaitSoundEngines();
        site.decode()
                .respondWith(exchange -> isReservation(exchange)
                        ? Reply.close("HTTP/1.1 " + head + "\r\n\r\n" + RESERVATION)
                        : decode(exchange));

        site.send(ENGINE);

        assertThat(site.decode().exchanges())
                .isNotEmpty()
                .noneMatch(exchange -> exchange.request().headers().containsKey("kv-hold"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"Na me: v", "Name : v", "Na\tme: v", " Name: v", "Name v", "Na\u0001me: v", "Na\u007fme: v"})
    void responseWithAnInvalidTrailerIsReportedAsMayHaveRun(final String field) throws Exception {
        final String chunk = "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nServer: s\r\n";
        site.single()
                .respondWith(exchange ->
                        Reply.close("HTTP/1.1 " + sealed(exchange.identifier()) + "\r\n" + chunk + field + "\r\n\r\n"));

        assertThat(site.send(ONCE).statusCode()).isEqualTo(502);
    }

    @Test
    void responseToAHeadRequestHasNoBody() throws Exception {
        site.respondFromPairWith(exchange ->
                Reply.keepOpen("HTTP/1.1 " + sealed(exchange.identifier()) + "\r\nContent-Length: 4\r\n\r\n"));

        assertThat(site.exchangeRaw(HttpMethod.HEAD, AGAIN))
                .startsWith("HTTP/1.1 200")
                .endsWith("\r\n\r\n");
        assertThat(site.exchangesOfPair()).hasSize(1);
    }

    /** Waits until both engines are used again, as the router avoids engines that have failed. */
    private static void awaitSoundEngines() throws Exception {
        site.prefill().respondWith(exchange -> Reply.close(withHead("200 OK", exchange, HANDLE)));
        site.decode().respondWith(InvalidResponseHeadTest::decode);
        await(() -> site.send(ENGINE).body().equals(EVENTS)
                && site.decode().exchanges().getLast().request().headers().containsKey("kv-source"));
        site.decode().exchanges().clear();
    }

    private static String invalid(final String head, final Exchange exchange) {
        return withHead(head, exchange, "done");
    }

    private static String withHead(final String head, final Exchange exchange, final String body) {
        return "HTTP/1.1 " + head + "\r\nRequest-Id: " + exchange.identifier() + "\r\nResponse-Seal: s\r\n\r\n" + body;
    }

    private static boolean isReservation(final Exchange exchange) {
        return exchange.request().path().startsWith("/hold-take");
    }

    private static Reply decode(final Exchange exchange) {
        return Reply.keepOpen(
                isReservation(exchange)
                        ? response("200 OK", RESERVATION)
                        : chunked(sealed(exchange.identifier()), EVENTS));
    }
}
