package org.lacewingstep.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import org.lacewingstep.standin.PlatformStoreStandIn;
import org.lacewingstep.standin.PlatformStoreStandIn.Fault;

/** Injects overlapping faults in a seeded random order and repairs each after a random delay. */
final class SoakFaults {
    private static final int MIN_SILENCE_MILLISECONDS = 700;
    private static final int SILENCE_SPREAD_MILLISECONDS = 600;
    private static final int MAX_PAUSE_MILLISECONDS = 900;
    private static final int MAX_FAULT_MILLISECONDS = 3500;
    private static final int SHUTDOWN_TIMEOUT_MILLISECONDS = 9000;
    private static final int MAX_OUTAGE_MILLISECONDS = 2000;
    private static final int MAX_REWRITE_MILLISECONDS = 1000;
    private static final int MIN_COPY_AGE_MILLISECONDS = 2000;
    private static final int MAX_COPY_AGE_MILLISECONDS = 8000;

    private static final List<String> ODD_ENTRIES = List.of(
            "[".repeat(20_000) + "]".repeat(20_000),
            "{\"a\":".repeat(5_000) + "1" + "}".repeat(5_000),
            oddEntry("\"slots\":1e999999999,\"address\":\"127.0.0.1:9\""),
            oddEntry("\"slots\":" + "9".repeat(2_000) + ",\"address\":\"127.0.0.1:9\""),
            oddEntry("\"slots\":99999999999999999999,\"address\":\"127.0.0.1:9\""),
            oddEntry("\"slots\":50,\"address\":\"127.0.0.1:99999\""),
            oddEntry("\"slots\":50,\"address\":\"127.0.0.1:-1\""),
            oddEntry("\"slots\":50,\"address\":\"127.0.0.1:99999999999\""));

    private final List<AdditionalFault> additionalFaults;
    private final Random additionalRandom;
    private final SoakLedger ledger;
    private final List<Repair> pendingRepairs = new ArrayList<>();
    private final boolean[] faultyInstances;
    private final boolean[] faultyUpstreams;
    private final Random random;
    private final SoakSite site;

    private boolean storeFaulty;
    private PlatformStoreStandIn.Copy storeCopy;
    private long storeCopiedAt;
    private int oddEntryCount;
    private int replacementCount;

    /** The repair of a fault, due at a time of {@link SoakClock} in milliseconds. */
    private record Repair(long dueAt, String description, RepairAction action) {}

    /** An action that ends a fault. */
    private interface RepairAction {
        void run() throws IOException, InterruptedException;
    }

    /**
     * Creates the faults of one soak.
     *
     * @param seed the seed; the basic faults that it determines do not depend on the additional faults
     * @param additionalFaults the kinds of faults to inject besides the basic ones
     * @param site the site
     * @param ledger the ledger that learns what was disturbed when
     */
    SoakFaults(
            final long seed,
            final Set<AdditionalFault> additionalFaults,
            final SoakSite site,
            final SoakLedger ledger) {
        this.additionalFaults = List.copyOf(new TreeSet<>(additionalFaults));
        this.additionalRandom = new Random(seed + 1);
        this.ledger = ledger;
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
            if (!additionalFaults.isEmpty()) {
                injectAdditionalFault(additionalFaults.get(additionalRandom.nextInt(additionalFaults.size())));
            }
            Thread.sleep(1 + random.nextInt(MAX_PAUSE_MILLISECONDS));
            runDueRepairs(SoakClock.now());
        }
        while (!pendingRepairs.isEmpty()) {
            final long dueAt = Collections.min(pendingRepairs, Comparator.comparingLong(Repair::dueAt))
                    .dueAt();
            Thread.sleep(Math.max(0, dueAt - SoakClock.now()));
            runDueRepairs(dueAt);
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

    private void injectAdditionalFault(final AdditionalFault kind) {
        switch (kind) {
            case SILENCE ->
                injectUpstreamFault(
                        additionalRandom.nextInt(faultyUpstreams.length),
                        new UpstreamFault.Silent(
                                additionalRandom.nextInt(SoakUpstream.EVENT_COUNT + 1) - 1,
                                MIN_SILENCE_MILLISECONDS + additionalRandom.nextInt(SILENCE_SPREAD_MILLISECONDS)),
                        additionalRandom);
            case REPEATED_REFUSAL, UNIDENTIFIED_REFUSAL ->
                injectUpstreamFault(
                        additionalRandom.nextInt(faultyUpstreams.length),
                        new UpstreamFault.RepeatsRefusal(kind == AdditionalFault.REPEATED_REFUSAL),
                        additionalRandom);
            case NOTICE ->
                injectUpstreamFault(
                        additionalRandom.nextInt(faultyUpstreams.length),
                        additionalRandom.nextBoolean() ? new UpstreamFault.Leaves() : new UpstreamFault.NamesReturn(),
                        additionalRandom);
            case BROKEN_STREAM -> {
                for (int index = SoakSite.FIRST_DECODE_UPSTREAM; index < faultyUpstreams.length; index++) {
                    injectUpstreamFault(index, new UpstreamFault.BreaksStreams(), additionalRandom);
                }
            }
            case ODD_ENTRY -> {
                ledger.recordActedFault("odd entries");
                oddEntryCount++;
                site.store()
                        .put(
                                "servers/odd-" + oddEntryCount,
                                ODD_ENTRIES.get(additionalRandom.nextInt(ODD_ENTRIES.size())));
            }
            case CONFIGURATION -> {
                ledger.recordActedFault("configuration changes");
                site.changeConfiguration(additionalRandom);
            }
            case RESTORE -> injectRestoration();
            default -> {
                // The requests themselves inject this fault.
            }
        }
    }

    private static String oddEntry(final String fields) {
        return "{\"service\":\"ledger\",\"zone\":\"z0\",\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1,\"born\":1,"
                + fields + "}";
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
                ledger.disturbances().begin(SoakDisturbances.instance(index), SoakClock.now());
                site.signal(index, "KILL");
                scheduleRepair("start " + index, () -> restart(index));
            }
            case 1 -> {
                ledger.disturbances().begin(SoakDisturbances.plannedStop(index), SoakClock.now());
                site.signal(index, "TERM");
                scheduleRepair("start " + index, () -> restart(index));
            }
            case 2 -> {
                ledger.disturbances().begin(SoakDisturbances.instance(index), SoakClock.now());
                site.signal(index, "STOP");
                scheduleRepair("continue " + index, () -> {
                    site.signal(index, "CONT");
                    ledger.disturbances().end(SoakDisturbances.instance(index), SoakClock.now());
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
        ledger.disturbances().end(SoakDisturbances.instance(index), SoakClock.now());
        ledger.disturbances().end(SoakDisturbances.plannedStop(index), SoakClock.now());
        faultyInstances[index] = false;
    }

    private void injectUpstreamFault() {
        final int index = random.nextInt(faultyUpstreams.length);
        if (!faultyUpstreams[index]) {
            final List<UpstreamFault> faults = UpstreamFault.BASIC_FAULTS;
            injectUpstreamFault(index, faults.get(random.nextInt(faults.size())), random);
        }
    }

    private void injectUpstreamFault(final int index, final UpstreamFault fault, final Random repairRandom) {
        if (!faultyUpstreams[index]) {
            faultyUpstreams[index] = true;
            site.upstream(index).setFault(fault);
            scheduleRepair("upstream " + index, repairRandom, () -> {
                site.upstream(index).setFault(new UpstreamFault.None());
                faultyUpstreams[index] = false;
            });
        }
    }

    private void injectConnectionFault() {
        final int index = random.nextInt(faultyUpstreams.length + 1);
        final FaultProxy proxy = index == faultyUpstreams.length ? site.storeProxy() : site.upstreamProxy(index);
        final String name = index == faultyUpstreams.length
                ? SoakDisturbances.STORE_CONNECTIONS
                : SoakDisturbances.connections(index);
        final FaultProxy.Mode[] modes = FaultProxy.Mode.values();
        final int modeIndex = random.nextInt(modes.length);
        if (modeIndex == 0) {
            ledger.disturbances().strike(name, SoakClock.now());
            proxy.reset();
            return;
        }
        ledger.disturbances().begin(name, SoakClock.now());
        proxy.setMode(modes[modeIndex]);
        scheduleRepair("connections " + index, () -> {
            proxy.setMode(FaultProxy.Mode.PASS);
            ledger.disturbances().end(name, SoakClock.now());
        });
    }

    private void injectStoreFault() {
        if (storeFaulty) {
            return;
        }
        final Fault[] faults = Fault.values();
        final int faultIndex = random.nextInt(faults.length);
        if (faultIndex == 0) {
            ledger.disturbances().strike(SoakDisturbances.STORE, SoakClock.now());
            site.store().dropHistory();
            return;
        }
        storeFaulty = true;
        ledger.disturbances().begin(SoakDisturbances.STORE, SoakClock.now());
        site.store().setFault(faults[faultIndex]);
        scheduleRepair("store", () -> {
            site.store().setFault(Fault.NONE);
            ledger.disturbances().end(SoakDisturbances.STORE, SoakClock.now());
            storeFaulty = false;
        });
    }

    /** Copies the store, or restores an earlier copy after an outage; the operators write again a moment later. */
    private void injectRestoration() {
        final long now = SoakClock.now();
        if (storeCopy == null || now - storeCopiedAt > MAX_COPY_AGE_MILLISECONDS) {
            storeCopy = site.store().copy();
            storeCopiedAt = now;
            return;
        }
        if (storeFaulty || now - storeCopiedAt < MIN_COPY_AGE_MILLISECONDS) {
            return;
        }
        final PlatformStoreStandIn.Copy copy = storeCopy;
        storeCopy = null;
        storeFaulty = true;
        ledger.recordActedFault("restorations of the store");
        ledger.disturbances().begin(SoakDisturbances.STORE, now);
        site.store().setFault(additionalRandom.nextBoolean() ? Fault.REFUSES : Fault.NO_RESPONSE);
        scheduleRepairAfter(additionalRandom.nextInt(MAX_OUTAGE_MILLISECONDS), "restore", () -> {
            site.store().restore(copy);
            site.store().setFault(Fault.NONE);
            scheduleRepairAfter(additionalRandom.nextInt(MAX_REWRITE_MILLISECONDS), "rewrite", () -> {
                site.writeAgain(copy);
                ledger.disturbances().end(SoakDisturbances.STORE, SoakClock.now());
                storeFaulty = false;
            });
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
            site.replaceUpstream(index, newIdentifier);
            faultyUpstreams[index] = false;
        });
    }

    private void scheduleRepair(final String description, final RepairAction action) {
        scheduleRepair(description, random, action);
    }

    private void scheduleRepair(final String description, final Random repairRandom, final RepairAction action) {
        scheduleRepairAfter(1 + repairRandom.nextInt(MAX_FAULT_MILLISECONDS), description, action);
    }

    private void scheduleRepairAfter(final int delayMilliseconds, final String description, final RepairAction action) {
        pendingRepairs.add(new Repair(SoakClock.now() + delayMilliseconds, description, action));
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
