/** Controllers, one for each area of decisions; each reads the whole blackboard and writes only its own section. */
package org.lacewingstep.controller;
