package org.lacewingstep.controller;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.blackboard.Event;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a store whose era is missing, invalid or lower, and which is taken for a newer state. */
class StoreControllerTest {
    private final SiteFixture site = SiteFixture.serving();

    @Test
    void eraOnlyRises() {
        observe("3");
        observe("5");
        observe("4");
        observe("");
        observe("x");

        assertThat(site.board().serving().store().era()).isEqualTo(5);
    }

    @Test
    void everyChangeOfTheHeaderIsLogged() {
        assertThat(logOf("3")).isEqualTo("era first seen");
        assertThat(logOf("5")).isEqualTo("came back from a copy");
        assertThat(logOf("4")).isEqualTo("era went back, ignored");
        assertThat(logOf("")).isEqualTo("response names no era, not used as a newer state");
        assertThat(logOf("x")).isEqualTo("response names no era, not used as a newer state");
    }

    private void observe(final String header) {
        final Optional<Long> era = header.matches("[0-9]+") ? Optional.of(Long.valueOf(header)) : Optional.empty();
        site.step(new Event.StoreEraObserved(era, header));
    }

    private String logOf(final String header) {
        site.effects().clear();
        observe(header);
        return site.effects().stream()
                .filter(Effect.Log.class::isInstance)
                .map(effect -> ((Effect.Log) effect).decision())
                .filter(decision -> decision.step().equals("store"))
                .findFirst()
                .orElseThrow()
                .outcome();
    }
}
