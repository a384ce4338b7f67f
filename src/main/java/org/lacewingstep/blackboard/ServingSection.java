package org.lacewingstep.blackboard;

/** A section that serves calls by the registry of the platform. */
public sealed interface ServingSection extends Section
        permits AllowanceSection, CallSection, RegistrySection, RoutingSection, SiteSection, UpstreamLoadSection {}
