/** Errors with codes and the guard clauses that raise them. */
package org.lacewingstep.error;
