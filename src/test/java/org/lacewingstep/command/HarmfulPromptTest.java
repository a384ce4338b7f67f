package org.lacewingstep.command;

import java.nio.file.Path;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.command.RawUpstream.Exchange;
import org.lacewingstep.command.RawUpstream.Reply;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lacewingstep.command.PlatformTestSite.STREAM;
import static org.lacewingstep.command.RawUpstream.chunked;
import static org.lacewingstep.command.RawUpstream.sealed;
import static org.lacewingstep.command.RawUpstream.unfinished;

/** Tests over sockets that calls with a part of a prompt that crashes upstreams stop reaching upstreams. */
class HarmfulPromptTest {
    private static final String EVENT = "id: 1\ndata: a\n\n";
    private static final String HARMFUL = "deadbeef";

    private static final int CRASHES_ALLOWED = 5;
    private static final int SENDS_ALLOWED = 3;
    private static final int HARMFUL_CALLS = 16;

    /** Longer than the time within which crashes have a common cause. */
    private static final long INCIDENT_INTERVAL_MILLISECONDS = 300;

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

    /** An upstream may send events before it crashes, so an event does not show that the prompt is sound. */
    @Test
    void partThatCrashesUpstreamsAfterTheirFirstEventIsRefused() throws Exception {
        site.respondFromPairWith(exchange -> isHarmful(exchange)
                ? Reply.reset(unfinished(sealed(exchange.identifier()), EVENT), "")
                : Reply.keepOpen(chunked(sealed(exchange.identifier()), EVENT)));

        assertHarmfulPartIsRefused("5c1e07a2:200,");
    }

    /** The prompt may have many parts, and any but the last one may be harmful. */
    @ParameterizedTest
    @ValueSource(ints = {17, 600})
    void partBehindManyOthersIsRefused(final int others) throws Exception {
        site.respondFromPairWith(exchange -> isHarmful(exchange)
                ? Reply.reset("", "")
                : Reply.keepOpen(chunked(sealed(exchange.identifier()), EVENT)));

        assertHarmfulPartIsRefused(
                IntStream.range(0, others).mapToObj(i -> "5c1e" + i + ":100,").collect(Collectors.joining()));
    }

    /** Sends calls with the part for a while and allows those up to the fifth crash and three more. */
    private void assertHarmfulPartIsRefused(final String sharedParts) throws Exception {
        for (int i = 0; i < HARMFUL_CALLS; i++) {
            exchange(sharedParts + HARMFUL + ":500," + i + "a:2500");
            Thread.sleep(INCIDENT_INTERVAL_MILLISECONDS);
            site.restartPair();
        }

        assertThat(site.exchangesOfPair()).hasSizeLessThanOrEqualTo(CRASHES_ALLOWED + SENDS_ALLOWED);
        assertThat(exchange(sharedParts + HARMFUL + ":500,fa:2500")).startsWith("HTTP/1.1 503");
        assertThat(exchange(sharedParts + "90bd3f06:500,fb:2500")).startsWith("HTTP/1.1 200");
    }

    private String exchange(final String promptParts) throws Exception {
        return site.exchangeRaw(STREAM, "Prompt-Prefix: " + promptParts + "\r\n");
    }

    private static boolean isHarmful(final Exchange exchange) {
        return exchange.request().headers().get("prompt-prefix").contains(HARMFUL);
    }
}
