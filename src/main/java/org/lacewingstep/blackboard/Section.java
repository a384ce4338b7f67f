package org.lacewingstep.blackboard;

/** A part of the blackboard that exactly one controller writes. */
public sealed interface Section
        permits ConfigurationSection,
                ShardedSection,
                LifecycleSection,
                RequestSection,
                ServingSection,
                UpstreamSection {}
