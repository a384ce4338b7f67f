package org.lacewingstep.traffic;

/**
 * An event of the stream to a caller.
 *
 * @param identifier the event's identifier, not null
 * @param data the event's data, not null
 */
record CallerFrame(String identifier, String data) {}
