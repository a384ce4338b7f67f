/** Generated from peer.thrift; not edited by hand. */
package org.lacewingstep.peer.wire;
