/** A randomized soak test: injects faults around real processes and verifies what callers and upstreams observe. */
package org.lacewingstep.soak;
