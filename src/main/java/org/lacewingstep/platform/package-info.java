/** Adapters to the users' platform: its settings file, its store, and the HTTP messages of callers and upstreams. */
package org.lacewingstep.platform;
