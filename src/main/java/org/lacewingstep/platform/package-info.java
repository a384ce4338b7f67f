/** The dialect of the users' platform: its settings file, its store, and the messages of callers and upstreams. */
package org.lacewingstep.platform;
