package org.lacewingstep.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

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

    private String add(final String text) {
        return add(relay, text);
    }

    private static String add(final EventRelay relay, final String text) {
        final Optional<ByteBuf> complete = relay.append(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        return complete.map(buffer -> buffer.toString(StandardCharsets.UTF_8)).orElse("");
    }
}
