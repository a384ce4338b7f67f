package org.lacewingstep.domain;

import org.lacewingstep.error.Validate;

/**
 * A team and its token budget across all instances.
 *
 * @param name the name of the team, not null
 * @param tokensPerSecond the rate of the budget in tokens per second, more than zero
 * @param burstTokens the burst of the budget in tokens, more than zero
 */
public record Team(TeamName name, long tokensPerSecond, long burstTokens) {
    /** Validates name, rate and burst. */
    public Team {
        Validate.notNull(name, "team");
        Validate.isTrue(tokensPerSecond > 0, "tokens_per_second", "more than zero");
        Validate.isTrue(burstTokens > 0, "burst_tokens", "more than zero");
    }
}
