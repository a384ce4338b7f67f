/** Settings, inventory and rules in TOML, checked as a whole. */
package org.lacewingstep.settings;
