package org.lacewingstep.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Assigns the ports of all processes of a site, starts its stand-ins and writes its configuration files. */
final class LocalSite {
    /** Names of the entry instances. */
    static final List<String> INSTANCES = List.of("entry-a", "entry-b");

    private static final List<String> FAILURE_DOMAINS = List.of("Rundu", "Divundu");
    private static final String SETTINGS_TEMPLATE =
            """
            [instance]
            name = "%s"
            failure_domain = "%s"
            caller_address = "127.0.0.1:%d"
            operator_address = "127.0.0.1:%d"
            peer_address = "127.0.0.1:%d"

            [platform]
            store = "%s"
            instance_list = "%s"

            [log]
            format = "json"

            [limits]
            upstream_silence = "%s"

            [policy]
            cold_start_floor = %d
            """;

    private final Map<String, Integer> ports = new LinkedHashMap<>();
    private final SiteParameters parameters;

    /**
     * Creates a site.
     *
     * @param parameters the parameters of the site, not null
     */
    LocalSite(final SiteParameters parameters) {
        this.parameters = parameters;
    }

    /**
     * Returns the port that is assigned to a process or to one of its servers.
     *
     * @param name the name of the process or server, not null
     * @return the port, the same for every call with this name
     */
    int port(final String name) {
        return ports.computeIfAbsent(name, key -> {
            try {
                return SiteProcesses.freePort();
            } catch (final IOException failure) {
                throw new UncheckedIOException(failure);
            }
        });
    }

    /** Returns the address of the store. */
    String storeAddress() {
        return "http://127.0.0.1:" + port("store");
    }

    /** Starts the stand-ins of the platform and of the upstreams. */
    void startStandIns(final SiteProcesses processes) throws IOException {
        processes.startStandIn("store", "store", Integer.toString(port("store")));
        final List<String> listArguments = new ArrayList<>(List.of("list", Integer.toString(port("list"))));
        INSTANCES.forEach(name -> listArguments.add("127.0.0.1:" + port(name + "-operator")));
        processes.startStandIn("list", listArguments.toArray(String[]::new));
        for (int index = 0; index < 2; index++) {
            startEngine(processes, "prefill-" + index);
            startEngine(processes, "decode-" + index);
            processes.startStandIn("ledger-" + index, "plain", Integer.toString(port("ledger-" + index)));
        }
    }

    private void startEngine(final SiteProcesses processes, final String name) throws IOException {
        processes.startStandIn(
                name,
                "engine",
                Integer.toString(port(name)),
                Integer.toString(parameters.memoryPieces()),
                Integer.toString(parameters.prefillMilliseconds()),
                Integer.toString(parameters.tokenMilliseconds()));
    }

    /** Writes the settings file of an instance. */
    Path writeSettings(final Path folder, final String name) throws IOException {
        final String failureDomain = FAILURE_DOMAINS.get(INSTANCES.indexOf(name) % FAILURE_DOMAINS.size());
        final String text = SETTINGS_TEMPLATE.formatted(
                name,
                failureDomain,
                port(name),
                port(name + "-operator"),
                port(name + "-peer"),
                storeAddress(),
                "http://127.0.0.1:" + port("list") + "/instances",
                parameters.upstreamTimeout(),
                parameters.coldStartFloor());
        return Files.writeString(folder.resolve(name + ".toml"), text);
    }

    /** Writes the inventory file with the failure domains, teams, services and upstreams. */
    Path writeInventory(final Path folder) throws IOException {
        final StringBuilder text = new StringBuilder();
        FAILURE_DOMAINS.forEach(domain -> text.append("[[failure_domain]]\nname = \"%s\"\n".formatted(domain)));
        text.append("[[team]]\nname = \"weavers\"\ntokens_per_second = %d\nburst_tokens = %d\n"
                .formatted(parameters.tokensPerSecond(), parameters.burstTokens()));
        text.append("[[team]]\nname = \"dyers\"\ntokens_per_second = 500\nburst_tokens = 4000\n");
        text.append("[[service]]\nname = \"pattern\"\nmodel = \"pattern-7b\"\n");
        text.append("[[service]]\nname = \"ledger\"\npath = \"/ledger\"\n");
        for (int index = 0; index < 2; index++) {
            text.append(upstreamEntry("prefill-" + index, "pattern", "prefill", index));
            text.append(upstreamEntry("decode-" + index, "pattern", "decode", index));
            text.append(upstreamEntry("ledger-" + index, "ledger", "plain", index));
        }
        return Files.writeString(folder.resolve("inventory.toml"), text);
    }

    private String upstreamEntry(final String name, final String service, final String role, final int index) {
        return """
                [[upstream]]
                name = "%s"
                service = "%s"
                role = "%s"
                address = "127.0.0.1:%d"
                failure_domain = "%s"
                memory_pieces = %d
                """
                .formatted(name, service, role, port(name), FAILURE_DOMAINS.get(index), parameters.memoryPieces());
    }

    /** Writes the rules file with the routes. */
    Path writeRules(final Path folder) throws IOException {
        return Files.writeString(
                folder.resolve("rules.toml"),
                """
                [[route]]
                service = "pattern"
                teams = ["weavers", "dyers"]

                [[route]]
                service = "ledger"
                teams = ["weavers"]
                """);
    }

    /**
     * Parameters of a site.
     *
     * @param memoryPieces the number of KV memory pieces of each engine
     * @param prefillMilliseconds the duration of a prefill in milliseconds
     * @param tokenMilliseconds the time between two tokens in milliseconds
     * @param tokensPerSecond the token rate of the first team
     * @param burstTokens the token burst of the first team
     * @param coldStartFloor the number of attempts that a cold engine initially receives, {@code cold_start_floor}
     * @param upstreamTimeout the timeout of an upstream that sends no data, {@code upstream_silence}, not null
     */
    record SiteParameters(
            int memoryPieces,
            int prefillMilliseconds,
            int tokenMilliseconds,
            long tokensPerSecond,
            long burstTokens,
            int coldStartFloor,
            String upstreamTimeout) {
        /** The parameters of the demonstration. */
        static final SiteParameters DEMO = new SiteParameters(24, 40, 15, 2000, 20_000, 2, "3s");
    }
}
