package org.lacewingstep.blackboard;

import org.lacewingstep.error.Validate;

/**
 * The control state of one process: immutable, replaced at each step.
 *
 * @param identity who this process is, not null
 * @param configuration the configuration in force, not null
 * @param membership the roster and this process's standing in it, not null
 * @param upstreams what is known of the upstreams, not null
 * @param requests the requests that this process answers, not null
 * @param tokenRequests what this process has asked of the homes of team budgets, not null
 * @param teamBudgets the team budgets that this process is home of, not null
 * @param cells the cells that this process is home of, not null
 * @param lifecycle whether this process is starting, ready or draining, not null
 * @param serving what serves calls by the registry of the platform, not null
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
     * Creates the blackboard of a process that starts.
     *
     * @param identity who the process is, not null
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
     * @return the blackboard with it, never null
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
            case HomeSection next -> withHome(next);
        };
    }

    private Blackboard withHome(final HomeSection section) {
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
