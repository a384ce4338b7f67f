/** Immutable types for instances, failure domains, teams, upstreams, services, routes and token budgets. */
package org.lacewingstep.domain;
