package org.lacewingstep.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.lacewingstep.upstream.BufferBudget;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the bodies that a process keeps at once stay within one bound, and that small ones still find room. */
class BodyBufferTest {
    private static final int LARGE = 4 * 1024 * 1024;
    private static final int LIMIT = 24 * 1024 * 1024;

    private final BufferBudget budget = new BufferBudget(LIMIT);

    @Test
    void largeBodiesBeyondTheBoundAreRefusedAndSmallOnesAreNot() {
        int accepted = 0;
        for (int i = 0; i < 28; i++) {
            accepted += new BodyBuffer(budget).reserve(LARGE) ? 1 : 0;
        }

        assertThat(accepted).isEqualTo(4);
        assertThat(new BodyBuffer(budget).reserve(3000)).isTrue();
        assertThat(budget.reservedBytes()).isLessThanOrEqualTo(LIMIT);
    }

    @Test
    void bodyThatEndsLeavesItsRoomToTheNext() {
        final BodyBuffer first = new BodyBuffer(budget);
        first.reserve(LARGE);
        first.append(part(1000));

        first.close();
        first.close();

        assertThat(budget.reservedBytes()).isZero();
    }

    @Test
    void bodyWithoutAStatedLengthIsCountedWhileItArrives() {
        final BodyBuffer buffer = new BodyBuffer(budget);
        final ByteBuf discarded = part(1);

        for (int received = 0; received < LIMIT; received += 8192) {
            buffer.append(part(8192));
        }
        buffer.append(discarded);

        assertThat(buffer.isOverflown()).isTrue();
        assertThat(discarded.refCnt()).isZero();
        assertThat(budget.reservedBytes()).isLessThanOrEqualTo(LIMIT);
    }

    @Test
    void bodyIsTheSameAsTheParts() {
        final BodyBuffer buffer = new BodyBuffer(budget);

        buffer.append(Unpooled.wrappedBuffer(new byte[] {1, 2})).append(Unpooled.wrappedBuffer(new byte[] {3}));

        assertThat(buffer.toBytes()).containsExactly(1, 2, 3);
    }

    private static ByteBuf part(final int bytes) {
        return Unpooled.wrappedBuffer(new byte[bytes]);
    }
}
