/** Encoding of the messages between instances, and the connections that transport them. */
package org.lacewingstep.peer;
