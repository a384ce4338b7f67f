package org.lacewingstep.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.blackboard.CallInstruction.Reserve;
import org.lacewingstep.blackboard.CallInstruction.Send;
import org.lacewingstep.blackboard.CallParameters;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.PromptPart;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.TokenDemand;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.Urgency;
import org.lacewingstep.traffic.CallProtocol.KvCacheReference;
import org.lacewingstep.traffic.CallProtocol.ResponseKind;
import org.lacewingstep.traffic.CallProtocol.RouterRequest;
import org.lacewingstep.traffic.CallerRequest;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the headers and bodies that the platform defines for callers and upstreams. */
class PlatformProtocolTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final PeerAddress ADDRESS = new PeerAddress("10.0.0.9", 8080);

    private final PlatformProtocol protocol = new PlatformProtocol();

    @Test
    void decodesTheRequestParametersFromTheHeaders() {
        final CallParameters parameters = protocol.decodeRequest(
                new RequestIdentifier("r"),
                callerRequest("Host", "a.example:80", "Token-Count", "1460,80", "Deadline-Ms", "900", "Api-Key", "k"),
                NOW);

        assertThat(parameters.host()).isEqualTo("a.example");
        assertThat(parameters.path()).isEqualTo("/p/q");
        assertThat(parameters.tokens()).contains(new TokenDemand(1460, 80));
        assertThat(parameters.waitLimit()).isEqualTo(Duration.ofMillis(900));
        assertThat(parameters.key()).contains(KeyDigest.of("k"));
    }

    @Test
    void decodesThePartsOfThePromptWithoutTheLastOne() {
        assertThat(promptParts("5C1e07a2:800, 91bd3f06:410,e4402b7d:250"))
                .containsExactly(new PromptPart("5c1e07a2"), new PromptPart("91bd3f06"));
        assertThat(promptParts("5c1e07a2:800")).isEmpty();
        assertThat(promptParts("5c1e07a2:1,5c1e07a2:1,e4:2")).containsExactly(new PromptPart("5c1e07a2"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", ",", "5c1e07a2", "5c1e07a2:8,x", "5c1e07a2:8,:3", "a:1,b:1,", "a:-1,b:1", "g:1,b:1"})
    void malformedPromptPrefixHasNoParts(final String header) {
        assertThat(promptParts(header)).isEmpty();
    }

    /** A limit below that of the head of a request would hide harmful parts behind it. */
    @Test
    void partsOfAPromptAreBoundedByTheSizeOfTheHeadAlone() {
        assertThat(promptParts(IntStream.range(0, 4000).mapToObj(i -> i + ":5").collect(Collectors.joining(","))))
                .hasSize(3999)
                .endsWith(new PromptPart("3998"));
        assertThat(promptParts("a:1,".repeat(2000) + "b:1")).containsExactly(new PromptPart("a"));
        assertThat(promptParts("a".repeat(65) + ":1,b:1")).isEmpty();
    }

    private List<PromptPart> promptParts(final String header) {
        return protocol.decodeRequest(new RequestIdentifier("r"), callerRequest("Prompt-Prefix", header), NOW)
                .promptParts();
    }

    @Test
    void dropsTheKeyAndTheRouterHeadersThatTheCallerSent() {
        final HttpHeaders headers = protocol.upstreamHeaders(
                callerRequest(
                        "Api-Key",
                        "secret",
                        "Tenant",
                        "other",
                        "Kv-Source",
                        "x",
                        "Kv-Hold",
                        "x",
                        "Kv-Backup",
                        "x",
                        "Pin-Ms",
                        "9",
                        "Stage",
                        "prefill",
                        "Request-Priority",
                        "0",
                        "Connection",
                        "X-Hop",
                        "X-Hop",
                        "1",
                        "X-Kept",
                        "1"),
                sendInstruction(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                NOW);

        assertThat(headers.names())
                .containsExactlyInAnyOrder("Expect-Instance", "Deadline-Ms", "Tenant", "X-Kept", "Request-Priority");
        assertThat(headers.get("Request-Priority")).isEqualTo("2");
        assertThat(headers.get("Tenant")).isEqualTo("weavers");
        assertThat(headers.get("Expect-Instance")).isEqualTo("i-1");
    }

    @Test
    void sendsTheRemainingTimeAsDeadline() {
        final HttpHeaders headers = protocol.upstreamHeaders(
                callerRequest("Deadline-Ms", "5000"),
                sendInstruction(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                NOW.plusMillis(400));

        assertThat(headers.get("Deadline-Ms")).isEqualTo("1600");
    }

    @Test
    void sendsReservationKvCacheReferenceAndLastEvent() {
        final HttpHeaders headers = protocol.upstreamHeaders(
                callerRequest(),
                sendInstruction(),
                Optional.of(new KvCacheReference(ADDRESS, "h1")),
                Optional.of("h2"),
                Optional.of("12"),
                NOW);

        assertThat(headers.get("Kv-Hold")).isEqualTo("h2");
        assertThat(headers.get("Kv-Source")).isEqualTo("10.0.0.9:8080/h1");
        assertThat(headers.get("Last-Event-Id")).isEqualTo("12");
    }

    @Test
    void reservesAndReleasesMemoryByIdentifier() {
        final Reserve instruction = new Reserve(sendInstruction().upstream(), 4000, Duration.ofMillis(1200), 1);

        final RouterRequest reservation = protocol.encodeReservation(instruction);
        final RouterRequest release = protocol.encodeRelease(instruction, "h3");

        assertThat(reservation.method() + " " + reservation.uri()).isEqualTo("POST /hold-take");
        assertThat(new String(reservation.body(), StandardCharsets.UTF_8))
                .isEqualTo("{\"tokens\":4000,\"ttlMs\":1200}");
        assertThat(reservation.headers().get("Expect-Instance")).isEqualTo("i-1");
        assertThat(release.method() + " " + release.uri()).isEqualTo("DELETE /hold-drop/h3");
        assertThat(protocol.decodeReservation("{\"hold\":\"h3\"}".getBytes(StandardCharsets.UTF_8)))
                .contains("h3");
        assertThat(protocol.decodeReservation("no JSON".getBytes(StandardCharsets.UTF_8)))
                .isEmpty();
    }

    @Test
    void onlyAResponseWithoutRequestIdBelongsToARouterRequest() {
        assertThat(protocol.belongsToRouterRequest(response(200, "Request-Id", "r")))
                .isFalse();
        assertThat(protocol.belongsToRouterRequest(response(200))).isTrue();
    }

    @Test
    void aSuccessNeedsAResponseSealAndNoContentEncoding() {
        assertThat(protocol.classify(response(200, "Request-Id", "r"))).isInstanceOf(ResponseKind.Unusable.class);
        assertThat(protocol.classify(response(200, "Request-Id", "r", "Response-Seal", "s")))
                .isInstanceOf(ResponseKind.Genuine.class);
        assertThat(protocol.classify(
                        response(200, "Request-Id", "r", "Response-Seal", "s", "Content-Encoding", "gzip")))
                .isInstanceOf(ResponseKind.Unusable.class);
    }

    @Test
    void onlyNotExecutedOrStatus421MeansNotRun() {
        assertThat(protocol.classify(response(503, "Not-Executed", "1"))).isInstanceOf(ResponseKind.NotRun.class);
        assertThat(protocol.classify(response(421))).isInstanceOf(ResponseKind.NotRun.class);
        assertThat(protocol.classify(response(500))).isInstanceOf(ResponseKind.Genuine.class);
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void aStatusThatPromisesNotRunNeedsNotExecuted(final int status) {
        assertThat(protocol.classify(response(status, "Request-Id", "r"))).isInstanceOf(ResponseKind.Unusable.class);
        assertThat(protocol.classify(response(status, "Request-Id", "r", "Not-Executed", "1")))
                .isInstanceOf(ResponseKind.NotRun.class);
    }

    @Test
    void matchesResponsesByRequestId() {
        final CallerRequest callerRequest = callerRequest("Request-Id", "r1");

        assertThat(protocol.belongsToRequest(callerRequest, response(200, "Request-Id", "r1")))
                .isTrue();
        assertThat(protocol.belongsToRequest(callerRequest, response(200, "Request-Id", "r0")))
                .isFalse();
        assertThat(protocol.belongsToRequest(callerRequest, response(200))).isFalse();
        assertThat(protocol.belongsToRequest(callerRequest, response(503, "Request-Id", "r1", "Not-Executed", "1")))
                .isTrue();
    }

    @Test
    void aRefusalWithoutRequestIdBelongsToNoRequestThatHasOne() {
        final CallerRequest callerRequest = callerRequest("Request-Id", "r1");

        assertThat(protocol.belongsToRequest(callerRequest, response(503, "Not-Executed", "1")))
                .isFalse();
        assertThat(protocol.belongsToRequest(callerRequest, response(421))).isFalse();
        assertThat(protocol.belongsToRequest(callerRequest, response(500))).isFalse();
    }

    @Test
    void onlyARequestWithoutRequestIdIsRejectedWithoutOne() {
        assertThat(protocol.belongsToRequest(callerRequest(), response(400, "Not-Executed", "1")))
                .isTrue();
        assertThat(protocol.belongsToRequest(callerRequest(), response(503, "Request-Id", "r0", "Not-Executed", "1")))
                .isFalse();
        assertThat(protocol.belongsToRequest(callerRequest(), response(200))).isFalse();
    }

    @Test
    void anInvalidHandleYieldsNoKvCacheReference() {
        assertThat(protocol.decodePrefillResponse(ADDRESS, "{\"kvHandle\":\"h\"}".getBytes()))
                .contains(new KvCacheReference(ADDRESS, "h"));
        assertThat(protocol.decodePrefillResponse(ADDRESS, "oops".getBytes())).isEmpty();
        assertThat(protocol.decodePrefillResponse(ADDRESS, "{\"kvHandle\":7}".getBytes()))
                .isEmpty();
    }

    @Test
    void writesRetryAfterInFractionsOfASecond() {
        final HttpHeaders headers = protocol.routerHeaders(callerRequest("Request-Id", "r1"), Duration.ofMillis(350));

        assertThat(headers.get("Retry-After")).isEqualTo("0.350");
        assertThat(headers.get("Request-Id")).isEqualTo("r1");
    }

    private static CallerRequest callerRequest(final String... headers) {
        return new CallerRequest(HttpMethod.POST, "/p/q?x=1", headers(headers), new byte[0]);
    }

    private static HttpResponse response(final int status, final String... headers) {
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers(headers));
    }

    private static HttpHeaders headers(final String... pairs) {
        final HttpHeaders headers = new DefaultHttpHeaders();
        for (int i = 0; i < pairs.length; i += 2) {
            headers.add(pairs[i], pairs[i + 1]);
        }
        return headers;
    }

    private static Send sendInstruction() {
        final RegisteredUpstream upstream = new RegisteredUpstream(
                new UpstreamName("i-1"),
                1,
                new ServiceName("s"),
                ADDRESS,
                new FailureDomainName("d"),
                UpstreamRole.DECODE,
                1,
                false,
                Duration.ZERO);
        return new Send(
                1,
                upstream,
                Optional.empty(),
                false,
                Optional.of(new TeamName("weavers")),
                NOW.plusSeconds(2),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                true,
                4,
                Optional.of(new Urgency(2)));
    }
}
