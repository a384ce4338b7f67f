package org.lacewingstep.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that only complete events are forwarded. */
class EventRelayTest {
    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";

    private final EventRelay relay = new EventRelay(Optional.empty());

    @Test
    void forwardsCompleteEventsAndBuffersTheRemainder() {
        assertThat(add("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(relay.lastIdentifier()).contains("1");
        assertThat(relay.hasPartialEvent()).isTrue();
        assertThat(add("ta: b\n")).isEmpty();
        assertThat(add("\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(relay.lastIdentifier()).contains("2");
        assertThat(relay.hasPartialEvent()).isFalse();
    }

    @Test
    void streamIsUnchangedWhereverItIsSplit() {
        for (int cut = 0; cut <= STREAM.length(); cut++) {
            final EventRelay fresh = new EventRelay(Optional.empty());
            final String joined = add(fresh, STREAM.substring(0, cut)) + add(fresh, STREAM.substring(cut));
            assertThat(joined).isEqualTo(STREAM);
            assertThat(fresh.lastIdentifier()).contains("3");
        }
    }

    @Test
    void droppedPartialEventIsNotJoinedWithLaterBytes() {
        add("id: 1\ndata: a\n\nid: 2\nda");

        relay.discardPartialEvent();

        assertThat(add("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    }

    @Test
    void startsAtTheLastEventOfTheCaller() {
        assertThat(new EventRelay(Optional.of("12")).lastIdentifier()).contains("12");
    }

    @Test
    void streamThatStartsOverIsWithheldAndNotJoined() {
        add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        relay.discardPartialEvent();

        assertThat(add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")).isEmpty();
        assertThat(add("id: 3\ndata: c\n\n")).isEmpty();
        assertThat(relay.isOutOfSequence()).isTrue();
        assertThat(relay.hasPartialEvent()).isTrue();
        assertThat(relay.lastIdentifier()).contains("2");
    }

    @Test
    void nextResponseContinuesAfterAWithheldEvent() {
        add("id: 9\ndata: a\n\n");
        relay.discardPartialEvent();
        add("id: 9\ndata: a\n\n");
        relay.discardPartialEvent();

        assertThat(add("id: 10\ndata: b\n\n")).isEqualTo("id: 10\ndata: b\n\n");
        assertThat(relay.isOutOfSequence()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "failed\n\nsee the log\n\n",
                "{\"error\":\"x\"}\n\n",
                "data: b\n\n",
                "id: x\ndata: b\n\n",
                "HTTP/1.1 500 Error\r\nid: 2\r\n\r\n",
                "id:\ndata: b\n\n"
            })
    void contentThatDoesNotContinueTheStreamIsWithheld(final String content) {
        add("id: 1\ndata: a\n\n");
        relay.discardPartialEvent();

        assertThat(add(content)).isEmpty();
        assertThat(relay.isOutOfSequence()).isTrue();
    }

    @Test
    void repeatedEventWithinAResponseIsWithheldWhereverTheStreamIsSplit() {
        final String stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
        for (int cut = 0; cut <= stream.length(); cut++) {
            final EventRelay fresh = new EventRelay(Optional.empty());
            final String joined = add(fresh, stream.substring(0, cut)) + add(fresh, stream.substring(cut));
            assertThat(joined).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
            assertThat(fresh.isOutOfSequence()).isTrue();
        }
    }

    @Test
    void commentsAndLaterEventsWithoutIdentifierAreForwarded() {
        final String stream = ": keep-alive\n\nid: 1\ndata: a\n\ndata: b\n\nweight-versions: 2\nid: 3\ndata: c\n\n";
        assertThat(add(stream)).isEqualTo(stream);

        relay.discardPartialEvent();

        assertThat(add(": keep-alive\n\nid: 7\ndata: d\n\n")).isEqualTo(": keep-alive\n\nid: 7\ndata: d\n\n");
    }

    @Test
    void streamOfACallerThatResumesFollowsItsLastEvent() {
        final EventRelay resumed = new EventRelay(Optional.of("12"));

        assertThat(add(resumed, "id: 13\ndata: a\n\n")).isEqualTo("id: 13\ndata: a\n\n");
        assertThat(add(new EventRelay(Optional.of("12")), "id: 1\ndata: a\n\n")).isEmpty();
    }

    @Test
    void streamWithoutIdentifiersIsNotContinuedByAnotherResponse() {
        assertThat(add("data: a\n\ndata: b\n\n")).isEqualTo("data: a\n\ndata: b\n\n");

        relay.discardPartialEvent();

        assertThat(add("data: a\n\n")).isEmpty();
    }

    private String add(final String text) {
        return add(relay, text);
    }

    private static String add(final EventRelay relay, final String text) {
        final Optional<ByteBuf> complete = relay.append(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        return complete.map(buffer -> buffer.toString(StandardCharsets.UTF_8)).orElse("");
    }
}
