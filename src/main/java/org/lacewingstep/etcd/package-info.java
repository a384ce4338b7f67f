/** Clients of the key-value service and of the instance list. */
package org.lacewingstep.etcd;
