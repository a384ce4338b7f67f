package org.lacewingstep.blackboard;

import java.time.Instant;

import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamUse;
import org.lacewingstep.error.Validate;

/**
 * The sections for calls that are served by the platform's registry.
 *
 * @param site the site policy and the registered instances, not null
 * @param routing the routing table in force, not null
 * @param registry the upstreams in the platform's registry, not null
 * @param allowances the rate limits of teams and the retry budget of this instance, not null
 * @param loads the load of this and the other instances at each upstream, not null
 * @param calls the open calls that this instance serves, not null
 * @param roles the planned roles of engines and how full the engines are, not null
 * @param relay what this instance passes on between the store and other instances, not null
 * @param prompts the parts of prompts that are suspected of crashing upstreams, not null
 * @param rollouts the rollouts that are ordered or have ended, not null
 * @param learned what this instance has learned about upstreams and the store, not null
 */
public record ServingBoard(
        SiteSection site,
        RoutingSection routing,
        RegistrySection registry,
        AllowanceSection allowances,
        UpstreamLoadSection loads,
        CallSection calls,
        RoleSection roles,
        RelaySection relay,
        PromptSection prompts,
        RolloutSection rollouts,
        LearnedBoard learned) {
    /** The initial sections of a process. */
    public static final ServingBoard INITIAL = new ServingBoard(
            SiteSection.INITIAL,
            RoutingSection.INITIAL,
            RegistrySection.INITIAL,
            AllowanceSection.INITIAL,
            UpstreamLoadSection.INITIAL,
            CallSection.INITIAL,
            RoleSection.INITIAL,
            RelaySection.INITIAL,
            PromptSection.INITIAL,
            RolloutSection.INITIAL,
            LearnedBoard.INITIAL);

    /** Checks that every section is present. */
    public ServingBoard {
        Validate.notNull(site, "site");
        Validate.notNull(routing, "routing");
        Validate.notNull(registry, "registry");
        Validate.notNull(allowances, "allowances");
        Validate.notNull(loads, "loads");
        Validate.notNull(calls, "calls");
        Validate.notNull(roles, "roles");
        Validate.notNull(relay, "relay");
        Validate.notNull(prompts, "prompts");
        Validate.notNull(rollouts, "rollouts");
        Validate.notNull(learned, "learned");
    }

    /**
     * Replaces one section.
     *
     * @param section the new section, not null
     * @return the updated sections, never null
     */
    public ServingBoard with(final ServingSection section) {
        return switch (section) {
            case SiteSection next ->
                new ServingBoard(
                        next, routing, registry, allowances, loads, calls, roles, relay, prompts, rollouts, learned);
            case RoutingSection next ->
                new ServingBoard(
                        site, next, registry, allowances, loads, calls, roles, relay, prompts, rollouts, learned);
            case RegistrySection next ->
                new ServingBoard(
                        site, routing, next, allowances, loads, calls, roles, relay, prompts, rollouts, learned);
            case AllowanceSection next ->
                new ServingBoard(site, routing, registry, next, loads, calls, roles, relay, prompts, rollouts, learned);
            case UpstreamLoadSection next ->
                new ServingBoard(
                        site, routing, registry, allowances, next, calls, roles, relay, prompts, rollouts, learned);
            case CallSection next ->
                new ServingBoard(
                        site, routing, registry, allowances, loads, next, roles, relay, prompts, rollouts, learned);
            case RoleSection next ->
                new ServingBoard(
                        site, routing, registry, allowances, loads, calls, next, relay, prompts, rollouts, learned);
            case RelaySection next ->
                new ServingBoard(
                        site, routing, registry, allowances, loads, calls, roles, next, prompts, rollouts, learned);
            case PromptSection next ->
                new ServingBoard(
                        site, routing, registry, allowances, loads, calls, roles, relay, next, rollouts, learned);
            case RolloutSection next ->
                new ServingBoard(
                        site, routing, registry, allowances, loads, calls, roles, relay, prompts, next, learned);
            case LearnedSection next ->
                new ServingBoard(
                        site,
                        routing,
                        registry,
                        allowances,
                        loads,
                        calls,
                        roles,
                        relay,
                        prompts,
                        rollouts,
                        learned.with(next));
        };
    }

    /**
     * Returns the era of the platform's store.
     *
     * @return the section, never null
     */
    public StoreSection store() {
        return learned.store();
    }

    /**
     * Returns what upstreams have announced in their responses.
     *
     * @return the section, never null
     */
    public UpstreamNoticeSection notices() {
        return learned.notices();
    }

    /**
     * Computes the use of an upstream by this instance and by all instances that are not cut off.
     *
     * @param upstream the upstream, not null
     * @param now the present time, not null
     * @return the sum of the uses, never null
     */
    public UpstreamUse use(final UpstreamName upstream, final Instant now) {
        return loads.use(upstream, now.minus(site.peerTimeout()));
    }
}
