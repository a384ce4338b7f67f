/** The control thread, its timers and the dispatch of effects to adapters. */
package org.lacewingstep.control;
