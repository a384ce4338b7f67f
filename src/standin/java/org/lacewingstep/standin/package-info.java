/** Stand-ins for the platform and the upstreams, and the programs that run the product against the stand-ins. */
package org.lacewingstep.standin;
