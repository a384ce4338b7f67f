/**
 * Inspection of a routing table before it is sent: entries without effect, limits that contradict each other, and the
 * differences from the table in force. Pure functions on records; nothing is read or written here.
 */
package org.lacewingstep.inspection;
