/** HTTP clients and connection pools for upstreams: model engines and plain services. */
package org.lacewingstep.upstream;
