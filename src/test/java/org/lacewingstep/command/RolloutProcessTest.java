package org.lacewingstep.command;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lacewingstep.command.RawUpstream.Reply;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests a rollout through a process, the store and upstreams over real sockets. */
class RolloutProcessTest {
    private static final Duration LIMIT = Duration.ofSeconds(9);

    private final List<RawUpstream> upstreams;
    private PlatformTestSite site;

    @TempDir
    private Path folder;

    RolloutProcessTest() throws Exception {
        upstreams = List.of(new RawUpstream(), new RawUpstream());
    }

    @BeforeEach
    void start() throws Exception {
        site = new PlatformTestSite(
                folder,
                text -> text.replaceFirst(
                        "\\{", "{\"contracts\":[\"tenants\",\"retry\",\"quota\",\"places\",\"rollout\"],"));
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
        for (final RawUpstream upstream : upstreams) {
            upstream.close();
        }
    }

    @Test
    void goodVersionReceivesAllCallsAndSucceeds() throws Exception {
        site.rollOut("v2", LIMIT, upstreams);
        callFor(LIMIT);

        assertThat(site.rolloutState()).contains("\"succeeded\"").contains("\"v2\"");
        site.respondFromPairWith(exchange -> Reply.reset());
        callFor(Duration.ofSeconds(1));
        assertThat(site.exchangesOfPair()).isEmpty();
    }

    @Test
    void versionThatFailsIsRolledBack() throws Exception {
        upstreams.forEach(upstream -> upstream.respondWith(exchange ->
                Reply.keepOpen(RawUpstream.response("500 Failed\r\nRequest-Id: " + exchange.identifier(), "failed"))));
        site.rollOut("v2", LIMIT, upstreams);
        callFor(Duration.ofSeconds(5));

        assertThat(site.rolloutState()).contains("\"rolled_back\"").contains("\"v2\"");
        upstreams.forEach(upstream -> upstream.exchanges().clear());
        callFor(Duration.ofSeconds(1));
        assertThat(upstreams).allMatch(upstream -> upstream.exchanges().isEmpty());
    }

    private void callFor(final Duration time) throws Exception {
        final Instant end = Instant.now().plus(time);
        while (Instant.now().isBefore(end)) {
            assertThat(site.send(PlatformTestSite.AGAIN).statusCode()).isEqualTo(200);
        }
    }
}
