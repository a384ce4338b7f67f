package org.lacewingstep.standin;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Starts a site and waits until it serves.
 *
 * @param processes the processes, not null
 * @param site the site, not null
 * @param caller calls the site, not null
 */
record SiteStart(DemoProcesses processes, DemoSite site, DemoCaller caller) {
    private static final int HTTP_OK = 200;
    private static final int WAIT_MILLISECONDS = 100;
    private static final int WAIT_TURNS = 600;

    /**
     * Starts everything.
     *
     * @return a key of the first team, never null
     */
    String run() throws Exception {
        site.startStandIns(processes);
        waitFor("store", () -> isAnswering("store", "/standin/calls"));
        final Path inventory = site.writeInventory(processes.folder());
        final Path rules = site.writeRules(processes.folder());
        System.out.println(processes.run(
                "apply", "--store", site.store(), "--inventory", inventory.toString(), "--rules", rules.toString()));
        final String key = processes.run("team", "grant-key", "--store", site.store(), "weavers");
        for (final String name : DemoSite.INSTANCES) {
            processes.startInstance(name, site.writeSettings(processes.folder(), name));
        }
        for (final String name : DemoSite.INSTANCES) {
            waitFor(name, () -> isAnswering(name + "-operator", "/ready"));
        }
        waitFor("a first answer", () -> answered(key));
        return key;
    }

    private boolean answered(final String key) throws Exception {
        final int port = site.port(DemoSite.INSTANCES.getFirst());
        return caller.complete(port, key, "warm", 1, false).get().statusCode() == HTTP_OK;
    }

    private boolean isAnswering(final String name, final String path) throws InterruptedException {
        try {
            return caller.get(site.port(name), path).statusCode() == HTTP_OK;
        } catch (final IOException failure) {
            return false;
        }
    }

    /**
     * Waits for a condition.
     *
     * @param what what is waited for, not null
     * @param condition the condition, not null
     */
    static void waitFor(final String what, final Condition condition) throws Exception {
        for (int turn = 0; turn < WAIT_TURNS; turn++) {
            if (condition.holds()) {
                return;
            }
            Thread.sleep(WAIT_MILLISECONDS);
        }
        throw new IllegalStateException("waited too long for " + what);
    }

    /** Something that is waited for. */
    interface Condition {
        /**
         * Tells whether it holds.
         *
         * @return true if it does
         */
        boolean holds() throws Exception;
    }
}
