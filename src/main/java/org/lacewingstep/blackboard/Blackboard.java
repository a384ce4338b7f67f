package org.lacewingstep.blackboard;

import org.lacewingstep.error.Validate;

/**
 * The control state of one process. The state is immutable; each step replaces it.
 *
 * @param identity this process as a member and its policy, not null
 * @param configuration the configuration in force, not null
 * @param membership the roster and the membership status of this process, not null
 * @param upstreams the load reports and cold-start states of the upstreams, not null
 * @param requests the open requests that this process serves, not null
 * @param tokenRequests the token requests sent to the shard owners of team budgets, not null
 * @param teamBudgets the slots of team budgets of which this process is the shard owner, not null
 * @param cells the cells of which this process is the shard owner, not null
 * @param lifecycle the lifecycle stage of this process, not null
 * @param serving the sections for calls that are served by the platform's registry, not null
 */
public record Blackboard(
        Identity identity,
        ConfigurationSection configuration,
        MembershipSection membership,
        UpstreamSection upstreams,
        RequestSection requests,
        TokenRequestSection tokenRequests,
        TeamBudgetSection teamBudgets,
        CellSection cells,
        LifecycleSection lifecycle,
        ServingBoard serving) {
    /** Checks that every section is present. */
    public Blackboard {
        Validate.notNull(identity, "identity");
        Validate.notNull(configuration, "configuration");
        Validate.notNull(membership, "membership");
        Validate.notNull(upstreams, "upstreams");
        Validate.notNull(requests, "requests");
        Validate.notNull(tokenRequests, "token requests");
        Validate.notNull(teamBudgets, "team budgets");
        Validate.notNull(cells, "cells");
        Validate.notNull(lifecycle, "lifecycle");
        Validate.notNull(serving, "serving");
    }

    /**
     * Creates the initial blackboard of a process.
     *
     * @param identity the process as a member and its policy, not null
     * @return the blackboard, never null
     */
    public static Blackboard initial(final Identity identity) {
        return new Blackboard(
                identity,
                ConfigurationSection.INITIAL,
                MembershipSection.INITIAL,
                UpstreamSection.INITIAL,
                RequestSection.INITIAL,
                TokenRequestSection.INITIAL,
                TeamBudgetSection.INITIAL,
                CellSection.INITIAL,
                LifecycleSection.INITIAL,
                ServingBoard.INITIAL);
    }

    /**
     * Replaces one section.
     *
     * @param section the new section, not null
     * @return the updated blackboard, never null
     */
    public Blackboard with(final Section section) {
        return switch (section) {
            case ConfigurationSection next ->
                new Blackboard(
                        identity,
                        next,
                        membership,
                        upstreams,
                        requests,
                        tokenRequests,
                        teamBudgets,
                        cells,
                        lifecycle,
                        serving);
            case UpstreamSection next ->
                new Blackboard(
                        identity,
                        configuration,
                        membership,
                        next,
                        requests,
                        tokenRequests,
                        teamBudgets,
                        cells,
                        lifecycle,
                        serving);
            case RequestSection next ->
                new Blackboard(
                        identity,
                        configuration,
                        membership,
                        upstreams,
                        next,
                        tokenRequests,
                        teamBudgets,
                        cells,
                        lifecycle,
                        serving);
            case LifecycleSection next ->
                new Blackboard(
                        identity,
                        configuration,
                        membership,
                        upstreams,
                        requests,
                        tokenRequests,
                        teamBudgets,
                        cells,
                        next,
                        serving);
            case ServingSection next ->
                new Blackboard(
                        identity,
                        configuration,
                        membership,
                        upstreams,
                        requests,
                        tokenRequests,
                        teamBudgets,
                        cells,
                        lifecycle,
                        serving.with(next));
            case ShardedSection next -> withShardedSection(next);
        };
    }

    private Blackboard withShardedSection(final ShardedSection section) {
        return switch (section) {
            case MembershipSection next ->
                new Blackboard(
                        identity,
                        configuration,
                        next,
                        upstreams,
                        requests,
                        tokenRequests,
                        teamBudgets,
                        cells,
                        lifecycle,
                        serving);
            case TokenRequestSection next ->
                new Blackboard(
                        identity,
                        configuration,
                        membership,
                        upstreams,
                        requests,
                        next,
                        teamBudgets,
                        cells,
                        lifecycle,
                        serving);
            case TeamBudgetSection next ->
                new Blackboard(
                        identity,
                        configuration,
                        membership,
                        upstreams,
                        requests,
                        tokenRequests,
                        next,
                        cells,
                        lifecycle,
                        serving);
            case CellSection next ->
                new Blackboard(
                        identity,
                        configuration,
                        membership,
                        upstreams,
                        requests,
                        tokenRequests,
                        teamBudgets,
                        next,
                        lifecycle,
                        serving);
        };
    }
}
