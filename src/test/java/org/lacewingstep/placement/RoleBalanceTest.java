package org.lacewingstep.placement;

import org.junit.jupiter.api.Test;
import org.lacewingstep.placement.RoleBalance.RoleLoad;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/** Tests that engines change their role where one role is full and the other idle, and otherwise keep it. */
class RoleBalanceTest {
    @Test
    void idlePrefillEnginesChangeToDecode() {
        assertThat(RoleBalance.engineChange(new RoleLoad(3, 0.3), new RoleLoad(5, 0.6)))
                .isEqualTo(1);
    }

    @Test
    void idleDecodeEnginesChangeToPrefill() {
        assertThat(RoleBalance.engineChange(new RoleLoad(3, 0.9), new RoleLoad(5, 0.3)))
                .isEqualTo(-1);
    }

    @Test
    void balancedRolesStay() {
        assertThat(RoleBalance.engineChange(new RoleLoad(4, 0.6), new RoleLoad(8, 0.6)))
                .isZero();
    }

    @Test
    void changeThatWouldFillTheOtherRoleIsNotMade() {
        assertThat(RoleBalance.engineChange(new RoleLoad(3, 0.6), new RoleLoad(5, 0.7)))
                .isZero();
    }

    @Test
    void littleLoadChangesNothing() {
        assertThat(RoleBalance.engineChange(new RoleLoad(3, 0), new RoleLoad(5, 0.1)))
                .isZero();
    }

    @Test
    void memoryThatStillFillsAfterAStartMovesNoEngineToPrefill() {
        assertThat(RoleBalance.engineChange(new RoleLoad(3, 0.22), new RoleLoad(5, 0.13)))
                .isZero();
    }

    @Test
    void busyFractionIsThatOfAQueueWithThisMeanLength() {
        for (final double busy : new double[] {0, 0.3, 0.5, 0.8, 0.95}) {
            final double prompts = busy + busy * busy / (2 * (1 - busy));
            assertThat(RoleBalance.busyFraction(prompts)).isCloseTo(busy, within(0.001));
        }
    }

    @Test
    void promptsThatWaitInABurstTakeNoEngineFromFullMemory() {
        assertThat(RoleBalance.engineChange(new RoleLoad(2, RoleBalance.busyFraction(1.65)), new RoleLoad(6, 0.98)))
                .isZero();
    }

    @Test
    void engineIsNotTakenFromARoleThatABurstWouldFill() {
        assertThat(RoleBalance.engineChange(new RoleLoad(3, RoleBalance.busyFraction(1.37)), new RoleLoad(5, 1)))
                .isZero();
        assertThat(RoleBalance.engineChange(new RoleLoad(3, 0.9), new RoleLoad(5, 0.5)))
                .isZero();
    }

    @Test
    void eachRoleKeepsTwoEngines() {
        assertThat(RoleBalance.engineChange(new RoleLoad(2, 0), new RoleLoad(6, 1)))
                .isZero();
        assertThat(RoleBalance.engineChange(new RoleLoad(6, 1), new RoleLoad(2, 0)))
                .isZero();
    }

    @Test
    void atMostAQuarterOfARoleChangesAtATime() {
        assertThat(RoleBalance.engineChange(new RoleLoad(20, 0.1), new RoleLoad(39, 1)))
                .isEqualTo(5);
    }

    @Test
    void balanceIsReachedAndThenKept() {
        double prefill = 0.3 * 20;
        double decode = 0.7 * 39;
        int prefillEngines = 20;
        int decodeEngines = 39;
        for (int round = 0; round < 10; round++) {
            final int change = RoleBalance.engineChange(
                    new RoleLoad(prefillEngines, prefill / prefillEngines),
                    new RoleLoad(decodeEngines, decode / decodeEngines));
            prefillEngines -= change;
            decodeEngines += change;
        }
        assertThat(RoleBalance.engineChange(
                        new RoleLoad(prefillEngines, prefill / prefillEngines),
                        new RoleLoad(decodeEngines, decode / decodeEngines)))
                .isZero();
        assertThat(prefill / prefillEngines).isLessThan(0.65);
        assertThat(decode / decodeEngines).isLessThan(0.65);
    }
}
