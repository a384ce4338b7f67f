/** Reads settings, inventory and rules from TOML files and reports all faults of a file together. */
package org.lacewingstep.settings;
