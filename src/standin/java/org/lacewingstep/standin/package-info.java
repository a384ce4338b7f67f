/** Small stand-ins for the platform and the upstreams, and the demonstration that runs against them. */
package org.lacewingstep.standin;
