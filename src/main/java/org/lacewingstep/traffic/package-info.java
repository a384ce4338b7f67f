/** HTTP front end for callers and operators, which forwards requests to upstreams and responses to callers. */
package org.lacewingstep.traffic;
