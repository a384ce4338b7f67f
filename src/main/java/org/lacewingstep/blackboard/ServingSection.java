package org.lacewingstep.blackboard;

/** A section for calls that are served by the platform's registry. */
public sealed interface ServingSection extends Section
        permits AllowanceSection,
                CallSection,
                LearnedSection,
                PromptSection,
                RegistrySection,
                RelaySection,
                RoleSection,
                RolloutSection,
                RoutingSection,
                SiteSection,
                UpstreamLoadSection {}
