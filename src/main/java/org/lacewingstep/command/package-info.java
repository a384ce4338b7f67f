/** Command line. */
package org.lacewingstep.command;
