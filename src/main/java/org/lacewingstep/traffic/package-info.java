/** HTTP front end for callers and operators, and the relay of answers. */
package org.lacewingstep.traffic;
