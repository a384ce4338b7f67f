package org.lacewingstep.traffic;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.lacewingstep.error.ErrorCode;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests the parsing of completion requests and the rejection of invalid bodies. */
class CompletionRequestTest {
    @Test
    void parsesAllFields() {
        final CompletionRequest request =
                CompletionRequest.parse("{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":9,\"stream\":true}");
        assertThat(request).isEqualTo(new CompletionRequest("m", "p", 9, true));
    }

    @Test
    void rejectsInvalidBodiesAsNotRun() {
        final List<String> bodies = List.of(
                "",
                "{",
                "[]",
                "{} {}",
                "{\"model\":3,\"prompt\":\"p\"}",
                "{\"model\":\"m\",\"prompt\":\"\"}",
                "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}",
                "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1e99}",
                "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":99999999999999999999}",
                "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":\"9\"}",
                "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":\"yes\"}");
        for (final String body : bodies) {
            assertThatThrownBy(() -> CompletionRequest.parse(body))
                    .as(body)
                    .isInstanceOfSatisfying(RequestFailure.class, failure -> {
                        assertThat(failure.code()).isEqualTo(ErrorCode.REQUEST_INVALID);
                        assertThat(failure.hasPossiblyRun()).isFalse();
                    });
        }
    }
}
