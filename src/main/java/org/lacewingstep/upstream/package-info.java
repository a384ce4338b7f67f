/** Clients of model engines and plain services. */
package org.lacewingstep.upstream;
