package org.lacewingstep.traffic;

/**
 * A server-sent event of a streamed response to a caller.
 *
 * @param identifier the event's identifier, not null
 * @param data the event's data, not null
 */
record CallerEvent(String identifier, String data) {}
