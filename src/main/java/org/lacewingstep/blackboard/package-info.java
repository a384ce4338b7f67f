/** The blackboard, its sections, the events that change it and the effects that follow. */
package org.lacewingstep.blackboard;
