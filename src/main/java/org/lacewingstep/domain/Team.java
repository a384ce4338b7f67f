package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * A team and its token budget over the whole fleet.
 *
 * @param name the name, not null
 * @param tokensPerSecond the rate in tokens a second, more than zero
 * @param burstTokens the burst in tokens, more than zero
 */
public record Team(TeamName name, long tokensPerSecond, long burstTokens) {
    /** Checks name, rate and burst. */
    public Team {
        Validate.notNull(name, "team");
        Validate.isTrue(tokensPerSecond > 0, "tokens_per_second", "more than zero");
        Validate.isTrue(burstTokens > 0, "burst_tokens", "more than zero");
    }
}
