/** Messages between instances and the connections that carry them. */
package org.lacewingstep.peer;
