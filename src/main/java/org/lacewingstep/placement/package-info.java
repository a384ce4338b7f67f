/**
 * Decisions about queueing, refusing and placing calls, as pure functions on records; the controllers call them with
 * what the blackboard holds.
 */
package org.lacewingstep.placement;
