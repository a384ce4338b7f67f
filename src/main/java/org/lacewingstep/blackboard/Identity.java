package org.lacewingstep.blackboard;

import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.Member;
import org.lacewingstep.error.Validate;

/**
 * Who this process is; never changes.
 *
 * @param member this process as a member of the roster, not null
 * @param policy the durations and sizes that decisions use, not null
 */
public record Identity(Member member, Policy policy) {
    /** Checks the parts. */
    public Identity {
        Validate.notNull(member, "member");
        Validate.notNull(policy, "policy");
    }

    /**
     * Gets this process.
     *
     * @return the incarnation, never null
     */
    public Incarnation incarnation() {
        return member.incarnation();
    }

    /**
     * Gets the name of this instance.
     *
     * @return the name, never null
     */
    public InstanceName name() {
        return member.name();
    }
}
