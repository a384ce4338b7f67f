package org.lacewingstep.blackboard;

import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.error.Validate;

/**
 * This process as a member, with its policy; the same for the whole run of the process.
 *
 * @param member this process as a member of the roster, not null
 * @param policy the durations and sizes that decisions use, not null
 */
public record Identity(Member member, Policy policy) {
    /** Checks that both parts are present. */
    public Identity {
        Validate.notNull(member, "member");
        Validate.notNull(policy, "policy");
    }

    /**
     * Returns the incarnation of this process.
     *
     * @return the incarnation, never null
     */
    public Incarnation incarnation() {
        return member.incarnation();
    }

    /**
     * Returns the name of this instance.
     *
     * @return the name, never null
     */
    public InstanceName name() {
        return member.name();
    }
}
