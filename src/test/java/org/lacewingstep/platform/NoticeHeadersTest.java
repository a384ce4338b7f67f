package org.lacewingstep.platform;

import java.time.Duration;
import java.util.Optional;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.blackboard.UpstreamNotice;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.UpstreamStart;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which values of an upstream's headers announce leaving, a pause or a limit of its rate. */
class NoticeHeadersTest {
    private static final RegisteredUpstream UPSTREAM = new RegisteredUpstream(
            new UpstreamName("i-1"),
            17,
            new ServiceName("ledger"),
            new PeerAddress("127.0.0.1", 80),
            new FailureDomainName("here"),
            UpstreamRole.PLAIN,
            8,
            false,
            Duration.ZERO);

    @Test
    void noticeNamesTheStartOfTheUpstream() {
        assertThat(decode(200, "Server-Leaving", "1").start())
                .isEqualTo(new UpstreamStart(new UpstreamName("i-1"), 17));
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 404, 500, 503})
    void upstreamLeavesWithAnyStatus(final int status) {
        assertThat(decode(status, "server-leaving", "1").leaving()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "0", "true", "11", "1,1"})
    void otherValuesDoNotAnnounceLeaving(final String value) {
        assertThat(decode(200, "Server-Leaving", value).isPresent()).isFalse();
    }

    @Test
    void oneOfTwoHeadersAnnouncesLeaving() {
        final HttpResponse response = response(200);
        response.headers().add("Server-Leaving", "0").add("Server-Leaving", "1");

        assertThat(decode(response).leaving()).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"1.5,1500", "0,0", "2,2000", "0.0004,1", "999999999999999999,86400000"})
    void refusalNamesATimeOfReturnInSeconds(final String value, final long milliseconds) {
        assertThat(decode(503, "Retry-After", value).pause()).contains(Duration.ofMillis(milliseconds));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "x", "NaN", "Infinity", "1e3", "0x10", "Wed, 21 Oct 2026 07:28:00 GMT", "1,5"})
    void invalidTimesOfReturnAreIgnored(final String value) {
        assertThat(decode(503, "Retry-After", value).pause()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 429, 500, 502})
    void otherStatusesNameNoTimeOfReturn(final int status) {
        assertThat(decode(status, "Retry-After", "2").pause()).isEqualTo(Optional.empty());
    }

    @ParameterizedTest
    @CsvSource({"200,4.8,4.8", "200,60,60", "503,0.25,0.25", "500, 5 ,5", "200,0,0.1"})
    void responseWithAnyStatusNamesALimit(final int status, final String value, final double requestsPerSecond) {
        assertThat(decode(status, "Server-Limit", value).requestsPerSecond()).contains(requestsPerSecond);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "x", "NaN", "Infinity", "1e3", "4,8"})
    void invalidLimitsAreIgnored(final String value) {
        assertThat(decode(200, "Server-Limit", value).isPresent()).isFalse();
    }

    private static UpstreamNotice decode(final int status, final String name, final String value) {
        final HttpResponse response = response(status);
        response.headers().set(name, value);
        return decode(response);
    }

    private static UpstreamNotice decode(final HttpResponse response) {
        return NoticeHeaders.decode(new RequestIdentifier("r"), UPSTREAM, response);
    }

    private static HttpResponse response(final int status) {
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    }
}
