package org.lacewingstep.domain;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.lacewingstep.error.RouterException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests that revisions order by era first, also as one number. */
class StoreRevisionTest {
    private static final List<StoreRevision> ASCENDING = List.of(
            StoreRevision.NONE,
            new StoreRevision(0, 183),
            new StoreRevision(0, StoreRevision.MAX_NUMBER),
            StoreRevision.absent(1),
            new StoreRevision(1, 117),
            new StoreRevision(StoreRevision.MAX_ERA, StoreRevision.MAX_NUMBER));

    @Test
    void laterEraIsAfterEveryNumberOfAnEarlierOne() {
        assertThat(ASCENDING.reversed().stream().sorted().toList()).isEqualTo(ASCENDING);
        assertThat(new StoreRevision(1, 117).isAfter(new StoreRevision(0, 183))).isTrue();
        assertThat(new StoreRevision(1, 183)).isNotEqualTo(new StoreRevision(0, 183));
    }

    @Test
    void oneNumberKeepsOrderAndValue() {
        assertThat(ASCENDING.stream().map(StoreRevision::toLong)).isSorted();
        assertThat(ASCENDING.stream().map(StoreRevision::toLong).map(StoreRevision::fromLong))
                .isEqualTo(ASCENDING);
        assertThat(new StoreRevision(0, 183).toLong()).isEqualTo(183);
        assertThat((long) (double) ASCENDING.getLast().toLong())
                .isEqualTo(ASCENDING.getLast().toLong());
    }

    @Test
    void valuesOutOfRangeAreRejected() {
        assertThatThrownBy(() -> new StoreRevision(-1, 0)).isInstanceOf(RouterException.class);
        assertThatThrownBy(() -> new StoreRevision(0, StoreRevision.MAX_NUMBER + 1))
                .isInstanceOf(RouterException.class);
        assertThatThrownBy(() -> StoreRevision.fromLong(-1)).isInstanceOf(RouterException.class);
    }
}
