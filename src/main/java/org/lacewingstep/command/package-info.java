/** The command line: picocli commands and the wiring of the processes that they run. */
package org.lacewingstep.command;
