/** Immutable records of the fleet: instances, failure domains, teams, upstreams, services and routes. */
package org.lacewingstep.domain;
