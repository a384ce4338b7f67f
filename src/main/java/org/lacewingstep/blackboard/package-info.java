/** The blackboard, its sections, the events that change the blackboard and the effects that controllers request. */
package org.lacewingstep.blackboard;
