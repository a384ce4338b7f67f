package org.lacewingstep.command;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the rehearsal starts an instance that serves a call. */
class RehearseCommandTest {
    @Test
    void rehearsalServesItsCall() throws Exception {
        assertThat(new RehearseCommand().call()).isZero();
    }
}
