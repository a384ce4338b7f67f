package org.lacewingstep.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

import org.lacewingstep.soak.SoakUpstream.UpstreamFault;
import org.lacewingstep.standin.PlatformStoreStandIn.Fault;

/** Injects overlapping faults in a seeded random order and repairs each after a random delay. */
final class SoakFaults {
    private static final int MAX_PAUSE_MILLISECONDS = 900;
    private static final int MAX_FAULT_MILLISECONDS = 3500;
    private static final int SHUTDOWN_TIMEOUT_MILLISECONDS = 9000;

    private final List<Repair> pendingRepairs = new ArrayList<>();
    private final boolean[] faultyInstances;
    private final boolean[] faultyUpstreams;
    private final Random random;
    private final SoakSite site;

    private boolean storeFaulty;
    private int replacementCount;

    /** The repair of a fault, due at a time of {@link SoakClock} in milliseconds. */
    private record Repair(long dueAt, String description, RepairAction action) {}

    /** An action that ends a fault. */
    private interface RepairAction {
        void run() throws IOException, InterruptedException;
    }

    SoakFaults(final long seed, final SoakSite site) {
        this.random = new Random(seed);
        this.site = site;
        this.faultyInstances = new boolean[site.instanceCount()];
        this.faultyUpstreams = new boolean[site.upstreamCount()];
    }

    /**
     * Injects faults for the given time and then repairs all open faults.
     *
     * @param durationMilliseconds the duration of fault injection in milliseconds
     */
    void run(final long durationMilliseconds) throws IOException, InterruptedException {
        final long end = SoakClock.now() + durationMilliseconds;
        while (SoakClock.now() < end) {
            injectRandomFault();
            Thread.sleep(1 + random.nextInt(MAX_PAUSE_MILLISECONDS));
            runDueRepairs(SoakClock.now());
        }
        pendingRepairs.sort(Comparator.comparingLong(Repair::dueAt));
        for (final Repair repair : List.copyOf(pendingRepairs)) {
            Thread.sleep(Math.max(0, repair.dueAt() - SoakClock.now()));
            runDueRepairs(repair.dueAt());
        }
    }

    private void injectRandomFault() throws IOException, InterruptedException {
        switch (random.nextInt(9)) {
            case 0, 1 -> injectInstanceFault();
            case 2, 3 -> injectUpstreamFault();
            case 4 -> injectConnectionFault();
            case 5 -> injectStoreFault();
            case 6 -> replaceUpstream();
            case 7 -> site.addKey();
            default -> site.withdrawKey(randomKeyToWithdraw());
        }
    }

    /** Draws a key; returns "none" for keys that end in 0, so that the initial keys stay valid. */
    private String randomKeyToWithdraw() {
        final String key = site.randomKey(random);
        return key.endsWith("0") ? "none" : key;
    }

    private void injectInstanceFault() throws IOException, InterruptedException {
        final int index = random.nextInt(faultyInstances.length);
        if (faultyInstances[index]) {
            return;
        }
        faultyInstances[index] = true;
        switch (random.nextInt(4)) {
            case 0 -> {
                site.signal(index, "KILL");
                scheduleRepair("start " + index, () -> restart(index));
            }
            case 1 -> {
                site.signal(index, "TERM");
                scheduleRepair("start " + index, () -> restart(index));
            }
            case 2 -> {
                site.signal(index, "STOP");
                scheduleRepair("continue " + index, () -> {
                    site.signal(index, "CONT");
                    faultyInstances[index] = false;
                });
            }
            default -> {
                site.signal(index, "HUP");
                faultyInstances[index] = false;
            }
        }
    }

    private void restart(final int index) throws IOException, InterruptedException {
        site.awaitExit(index, SHUTDOWN_TIMEOUT_MILLISECONDS);
        site.startInstance(index);
        faultyInstances[index] = false;
    }

    private void injectUpstreamFault() {
        final int index = random.nextInt(faultyUpstreams.length);
        if (!faultyUpstreams[index]) {
            faultyUpstreams[index] = true;
            final UpstreamFault[] faults = UpstreamFault.values();
            site.upstream(index).setFault(faults[1 + random.nextInt(faults.length - 1)]);
            scheduleRepair("upstream " + index, () -> {
                site.upstream(index).setFault(UpstreamFault.NONE);
                faultyUpstreams[index] = false;
            });
        }
    }

    private void injectConnectionFault() {
        final int index = random.nextInt(faultyUpstreams.length + 1);
        final FaultProxy proxy = index == faultyUpstreams.length ? site.storeProxy() : site.upstreamProxy(index);
        final FaultProxy.Mode[] modes = FaultProxy.Mode.values();
        final int modeIndex = random.nextInt(modes.length);
        if (modeIndex == 0) {
            proxy.reset();
            return;
        }
        proxy.setMode(modes[modeIndex]);
        scheduleRepair("connections " + index, () -> proxy.setMode(FaultProxy.Mode.PASS));
    }

    private void injectStoreFault() {
        if (storeFaulty) {
            return;
        }
        final Fault[] faults = Fault.values();
        final int faultIndex = random.nextInt(faults.length);
        if (faultIndex == 0) {
            site.store().dropHistory();
            return;
        }
        storeFaulty = true;
        site.store().setFault(faults[faultIndex]);
        scheduleRepair("store", () -> {
            site.store().setFault(Fault.NONE);
            storeFaulty = false;
        });
    }

    /** Drains an upstream and later registers another one at the same address; requires a working store. */
    private void replaceUpstream() {
        final int index = random.nextInt(faultyUpstreams.length);
        if (faultyUpstreams[index] || storeFaulty) {
            return;
        }
        faultyUpstreams[index] = true;
        site.writeUpstreamEntry(index, "draining");
        replacementCount++;
        final String newIdentifier = "i-" + index + "-" + replacementCount;
        scheduleRepair("replace " + index, () -> {
            site.store().delete("servers/" + site.upstream(index).identifier());
            site.upstream(index).replaceIdentifier(newIdentifier);
            site.writeUpstreamEntry(index, "ready");
            faultyUpstreams[index] = false;
        });
    }

    private void scheduleRepair(final String description, final RepairAction action) {
        pendingRepairs.add(
                new Repair(SoakClock.now() + 1 + random.nextInt(MAX_FAULT_MILLISECONDS), description, action));
    }

    private void runDueRepairs(final long now) throws IOException, InterruptedException {
        for (final Repair repair : List.copyOf(pendingRepairs)) {
            if (repair.dueAt() <= now) {
                pendingRepairs.remove(repair);
                repair.action().run();
            }
        }
    }
}
