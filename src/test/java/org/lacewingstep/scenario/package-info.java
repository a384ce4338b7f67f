/** Scripted scenarios over the real decisions, with virtual time and small fakes at the interfaces. */
package org.lacewingstep.scenario;
