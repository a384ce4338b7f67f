package org.lacewingstep.blackboard;

/** A section that depends on shard owners: the roster, the team budgets, the token requests or the cells. */
public sealed interface ShardedSection extends Section
        permits CellSection, MembershipSection, TeamBudgetSection, TokenRequestSection {}
