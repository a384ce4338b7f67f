package org.lacewingstep.blackboard;

/** A section for what this instance has learned about upstreams and the store from their responses. */
public sealed interface LearnedSection extends ServingSection
        permits KeptPromptSection, SpeedSection, StoreSection, UpstreamNoticeSection {}
