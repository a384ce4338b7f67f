/** Exceptions with stable error codes, and argument checks that throw them. */
package org.lacewingstep.error;
