package org.lacewingstep.blackboard;

/** A section of the budgets that instances share by homes. */
public sealed interface HomeSection extends Section
        permits CellSection, MembershipSection, TeamBudgetSection, TokenRequestSection {}
