/**
 * Decisions about moving a service's requests to another version, as pure functions on records; the controllers call
 * them with what the blackboard holds.
 */
package org.lacewingstep.rollout;
