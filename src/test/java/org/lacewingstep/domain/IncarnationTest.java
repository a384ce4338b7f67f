package org.lacewingstep.domain;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingstep.error.RouterException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests {@link Incarnation}. */
class IncarnationTest {
    @Test
    void parsesItsText() {
        final Incarnation incarnation = new Incarnation(new InstanceName("a/b"), 17);

        assertThat(Incarnation.parse(incarnation.toString())).isEqualTo(incarnation);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "a", "/1", "a/", "a/x", "a/1x", "a/99999999999999999999"})
    void rejectsOtherTexts(final String text) {
        assertThatThrownBy(() -> Incarnation.parse(text)).isInstanceOf(RouterException.class);
    }
}
