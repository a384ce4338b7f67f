package org.lacewingstep.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Runs soak tests of instance processes with callers and upstreams, under faults that a seed determines. */
public final class Soak {
    /** Time after the last fault within which normal service must resume. */
    private static final long RECOVERY_MILLISECONDS = 12_000;

    /** Time that upstreams get to finish their requests after the callers have stopped. */
    private static final long SETTLE_MILLISECONDS = 1500;

    private static final int CLIENTS_PER_INSTANCE = 4;

    private Soak() {}

    /**
     * Runs one soak per seed, in sequence; exits with 0 only if none of them has a violation.
     *
     * @param arguments the first seed, the number of seeds, the seconds of fault injection, the number of instances,
     *     and the names of the additional faults to inject
     */
    public static void main(final String... arguments) throws Exception {
        final long firstSeed = Long.parseLong(arguments[0]);
        final int seedCount = Integer.parseInt(arguments[1]);
        final Set<AdditionalFault> additionalFaults =
                Arrays.stream(arguments).skip(4).map(AdditionalFault::valueOf).collect(Collectors.toUnmodifiableSet());
        boolean passed = true;
        for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
            final List<String> violations =
                    run(seed, 1000L * Integer.parseInt(arguments[2]), Integer.parseInt(arguments[3]), additionalFaults);
            violations.forEach(System.out::println);
            passed &= violations.isEmpty();
        }
        System.exit(passed ? 0 : 1);
    }

    /**
     * Runs one soak.
     *
     * @param seed the seed of the random faults and requests
     * @param faultMilliseconds the duration of fault injection in milliseconds
     * @param instanceCount the number of instance processes
     * @param additionalFaults the kinds of faults to inject besides the basic ones, not null
     * @return the violations of guarantees to callers, empty if there are none
     * @throws IOException if a process cannot be started
     * @throws InterruptedException if the thread is interrupted
     */
    public static List<String> run(
            final long seed,
            final long faultMilliseconds,
            final int instanceCount,
            final Set<AdditionalFault> additionalFaults)
            throws IOException, InterruptedException {
        final Path folder = Files.createTempDirectory("lacewingstep-soak-" + seed + "-");
        final SoakLedger ledger = new SoakLedger(additionalFaults.contains(AdditionalFault.SILENCE));
        final List<SoakClient> clients = new ArrayList<>();
        final List<Thread> threads = new ArrayList<>();
        try (SoakSite site = new SoakSite(folder, instanceCount, ledger)) {
            for (int index = 0; index < instanceCount; index++) {
                site.startInstance(index);
            }
            site.awaitReady();
            for (int clientNumber = 0; clientNumber < instanceCount * CLIENTS_PER_INSTANCE; clientNumber++) {
                final SoakClient client = new SoakClient(
                        clientNumber, seed, additionalFaults.contains(AdditionalFault.CRASHING_PART), site, ledger);
                clients.add(client);
                threads.add(Thread.ofVirtual().start(client));
            }
            new SoakFaults(seed, additionalFaults, site, ledger).run(faultMilliseconds);
            site.awaitReady();
            checkRecovery(ledger);
            clients.forEach(SoakClient::stop);
            for (final Thread thread : threads) {
                thread.join();
            }
            Thread.sleep(SETTLE_MILLISECONDS);
        }
        final List<String> violations = ledger.listViolations();
        System.out.println(
                "seed " + seed + ": " + ledger + ", " + violations.size() + " violations, logs in " + folder);
        return violations;
    }

    /** Records a violation unless most requests are served in the second half of the recovery time. */
    private static void checkRecovery(final SoakLedger ledger) throws InterruptedException {
        Thread.sleep(RECOVERY_MILLISECONDS / 2);
        final int servedBefore = ledger.count(SoakLedger.Outcome.SERVED);
        final int unservedBefore = ledger.count(SoakLedger.Outcome.REFUSED) + ledger.count(SoakLedger.Outcome.FAILED);
        Thread.sleep(RECOVERY_MILLISECONDS / 2);
        final int servedSince = ledger.count(SoakLedger.Outcome.SERVED) - servedBefore;
        final int unservedSince =
                ledger.count(SoakLedger.Outcome.REFUSED) + ledger.count(SoakLedger.Outcome.FAILED) - unservedBefore;
        if (servedSince <= unservedSince) {
            ledger.recordViolation(servedSince + " served and " + unservedSince + " not, long after the last fault");
        }
    }
}
