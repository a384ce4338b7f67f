/** Clients of the etcd key-value service and of the instance list. */
package org.lacewingstep.etcd;
