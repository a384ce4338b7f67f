package org.lacewingstep.standin;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Starts the processes of a site and waits until the site serves requests.
 *
 * @param processes starts and holds the processes, not null
 * @param site the ports and files of the site, not null
 * @param client the client that checks the site, not null
 */
record SiteStarter(SiteProcesses processes, LocalSite site, SiteClient client) {
    private static final int HTTP_OK = 200;
    private static final int POLL_INTERVAL_MILLISECONDS = 100;
    private static final int MAX_POLLS = 600;

    /**
     * Starts all processes, applies the configuration and waits until a first completion succeeds.
     *
     * @return a granted key of the first team, never null
     */
    String run() throws Exception {
        site.startStandIns(processes);
        waitFor("store", () -> respondsWithOk("store", "/standin/calls"));
        final Path inventory = site.writeInventory(processes.folder());
        final Path rules = site.writeRules(processes.folder());
        System.out.println(processes.run(
                "apply",
                "--store",
                site.storeAddress(),
                "--inventory",
                inventory.toString(),
                "--rules",
                rules.toString()));
        final String key = processes.run("team", "grant-key", "--store", site.storeAddress(), "weavers");
        for (final String name : LocalSite.INSTANCES) {
            processes.startInstance(name, site.writeSettings(processes.folder(), name));
        }
        for (final String name : LocalSite.INSTANCES) {
            waitFor(name, () -> respondsWithOk(name + "-operator", "/ready"));
        }
        waitFor("a first response", () -> completionSucceeds(key));
        return key;
    }

    private boolean completionSucceeds(final String key) throws Exception {
        final int port = site.port(LocalSite.INSTANCES.getFirst());
        return client.complete(port, key, "warm", 1, false).get().statusCode() == HTTP_OK;
    }

    private boolean respondsWithOk(final String serverName, final String path) throws InterruptedException {
        try {
            return client.get(site.port(serverName), path).statusCode() == HTTP_OK;
        } catch (final IOException failure) {
            return false;
        }
    }

    /**
     * Polls a condition until it is met.
     *
     * @param description the name of the condition in the error message, not null
     * @param condition the condition, not null
     * @throws IllegalStateException if the condition is not met in time
     */
    static void waitFor(final String description, final Condition condition) throws Exception {
        for (int poll = 0; poll < MAX_POLLS; poll++) {
            if (condition.isMet()) {
                return;
            }
            Thread.sleep(POLL_INTERVAL_MILLISECONDS);
        }
        throw new IllegalStateException("timed out waiting for " + description);
    }

    /** A condition to poll. */
    interface Condition {
        /**
         * Evaluates the condition.
         *
         * @return true if the condition is met
         */
        boolean isMet() throws Exception;
    }
}
