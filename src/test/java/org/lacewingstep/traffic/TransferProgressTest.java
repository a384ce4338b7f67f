package org.lacewingstep.traffic;

import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that callers are cut that stand still, or that are slow while others need the memory that they hold. */
class TransferProgressTest {
    private static final Instant START = Instant.EPOCH;

    @Test
    void callerThatStandsStillIsCut() {
        final TransferProgress started = TransferProgress.start(START).at(100, START.plusSeconds(2));

        final TransferProgress progress = started.at(100, START.plusSeconds(31));
        assertThat(progress.isTooSlow(false, START.plusSeconds(31))).isFalse();
        assertThat(progress.isTooSlow(false, START.plusSeconds(32))).isTrue();
    }

    @Test
    void slowCallerIsCutOnlyWhileOthersAreRefused() {
        TransferProgress progress = TransferProgress.start(START);
        for (int second = 1; second <= 30; second++) {
            progress = progress.at(second, START.plusSeconds(second));
        }

        assertThat(progress.isTooSlow(false, START.plusSeconds(30))).isFalse();
        assertThat(progress.isTooSlow(true, START.plusSeconds(30))).isTrue();
        assertThat(TransferProgress.start(START).isTooSlow(true, START.plusSeconds(4)))
                .isFalse();
    }
}
