package org.lacewingstep.traffic;

import org.junit.jupiter.api.Test;
import org.lacewingstep.domain.AttemptIdentifier;
import org.lacewingstep.domain.RequestIdentifier;
import ratpack.sse.Event;
import ratpack.sse.internal.DefaultEvent;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the classification of events of an engine's stream. */
class EngineFrameTest {
    private static final AttemptIdentifier ATTEMPT = new AttemptIdentifier(new RequestIdentifier("a-1"), 1);

    @Test
    void readsNextToken() throws Exception {
        assertThat(of("3", text("a-1.1", " reed"))).isEqualTo(new EngineFrame.Text(" reed"));
    }

    @Test
    void skipsFramesOfOtherAttemptsAndRepeatedFrames() throws Exception {
        assertThat(of("3", text("a-1.2", " reed"))).isInstanceOf(EngineFrame.Skipped.class);
        assertThat(of("2", text("a-1.1", " reed"))).isInstanceOf(EngineFrame.Skipped.class);
    }

    @Test
    void rejectsFrameAfterAGap() throws Exception {
        assertThat(of("5", text("a-1.1", " reed"))).isInstanceOf(EngineFrame.Invalid.class);
    }

    @Test
    void rejectsMalformedFrames() throws Exception {
        assertThat(of("3", "{")).isInstanceOf(EngineFrame.Invalid.class);
        assertThat(of(null, text("a-1.1", " reed"))).isInstanceOf(EngineFrame.Invalid.class);
    }

    @Test
    void recognizesFinishAndEndMark() throws Exception {
        assertThat(of(null, "[DONE]")).isInstanceOf(EngineFrame.EndMark.class);
        final String finish = "{\"id\":\"a-1.1\",\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}";
        assertThat(of("2", finish)).isEqualTo(new EngineFrame.Finish("length"));
    }

    @Test
    void rejectsFinishAfterAMissingFrame() throws Exception {
        final String finish = "{\"id\":\"a-1.1\",\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}";
        assertThat(of("3", finish)).isInstanceOf(EngineFrame.Invalid.class);
        assertThat(of(null, finish)).isEqualTo(new EngineFrame.Finish("length"));
    }

    private static String text(final String identifier, final String word) {
        return "{\"id\":\"" + identifier + "\",\"choices\":[{\"text\":\"" + word + "\",\"finish_reason\":null}]}";
    }

    private static EngineFrame of(final String offset, final String data) throws Exception {
        final Event<Void> event = new DefaultEvent<>(null);
        event.data(data);
        if (offset != null) {
            event.id(offset);
        }
        return EngineFrame.of(event, ATTEMPT, 2);
    }
}
