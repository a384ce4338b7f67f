/** Scenario tests that run the production controllers in virtual time, with fakes at the interfaces. */
package org.lacewingstep.scenario;
