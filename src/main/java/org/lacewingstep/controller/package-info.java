/** Controllers, one for each duty; each reads the whole blackboard and writes its own section. */
package org.lacewingstep.controller;
