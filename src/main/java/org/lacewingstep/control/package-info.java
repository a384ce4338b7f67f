/** The control thread, its timers and the hand-over of effects to adapters. */
package org.lacewingstep.control;
