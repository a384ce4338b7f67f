package org.lacewingstep.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The site of the demonstration: addresses of all processes and the files that describe them. */
final class DemoSite {
    /** Names of the entry instances. */
    static final List<String> INSTANCES = List.of("entry-a", "entry-b");

    private static final List<String> DOMAINS = List.of("Rundu", "Divundu");
    private static final String PATTERN =
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
    private final Shape shape;

    /**
     * Creates a site.
     *
     * @param shape its sizes, not null
     */
    DemoSite(final Shape shape) {
        this.shape = shape;
    }

    /**
     * Gets the port of a process or of one of its servers.
     *
     * @param name the name, not null
     * @return a free port, the same at each call
     */
    int port(final String name) {
        return ports.computeIfAbsent(name, key -> {
            try {
                return DemoProcesses.freePort();
            } catch (final IOException failure) {
                throw new UncheckedIOException(failure);
            }
        });
    }

    /** Gets the address of the store. */
    String store() {
        return "http://127.0.0.1:" + port("store");
    }

    /** Starts the platform's and the upstreams' stand-ins. */
    void startStandIns(final DemoProcesses processes) throws IOException {
        processes.startStandIn("store", "store", Integer.toString(port("store")));
        final List<String> list = new ArrayList<>(List.of("list", Integer.toString(port("list"))));
        INSTANCES.forEach(name -> list.add("127.0.0.1:" + port(name + "-operator")));
        processes.startStandIn("list", list.toArray(String[]::new));
        for (int index = 0; index < 2; index++) {
            startEngine(processes, "prefill-" + index);
            startEngine(processes, "decode-" + index);
            processes.startStandIn("ledger-" + index, "plain", Integer.toString(port("ledger-" + index)));
        }
    }

    private void startEngine(final DemoProcesses processes, final String name) throws IOException {
        processes.startStandIn(
                name,
                "engine",
                Integer.toString(port(name)),
                Integer.toString(shape.memoryPieces()),
                Integer.toString(shape.prefillMilliseconds()),
                Integer.toString(shape.tokenMilliseconds()));
    }

    /** Writes the settings of an instance. */
    Path writeSettings(final Path folder, final String name) throws IOException {
        final String domain = DOMAINS.get(INSTANCES.indexOf(name) % DOMAINS.size());
        final String text = PATTERN.formatted(
                name,
                domain,
                port(name),
                port(name + "-operator"),
                port(name + "-peer"),
                store(),
                "http://127.0.0.1:" + port("list") + "/instances",
                shape.upstreamSilence(),
                shape.coldStartFloor());
        return Files.writeString(folder.resolve(name + ".toml"), text);
    }

    /** Writes the inventory. */
    Path writeInventory(final Path folder) throws IOException {
        final StringBuilder text = new StringBuilder();
        DOMAINS.forEach(domain -> text.append("[[failure_domain]]\nname = \"%s\"\n".formatted(domain)));
        text.append("[[team]]\nname = \"weavers\"\ntokens_per_second = %d\nburst_tokens = %d\n"
                .formatted(shape.tokensPerSecond(), shape.burstTokens()));
        text.append("[[team]]\nname = \"dyers\"\ntokens_per_second = 500\nburst_tokens = 4000\n");
        text.append("[[service]]\nname = \"pattern\"\nmodel = \"pattern-7b\"\n");
        text.append("[[service]]\nname = \"ledger\"\npath = \"/ledger\"\n");
        for (int index = 0; index < 2; index++) {
            text.append(upstream("prefill-" + index, "pattern", "prefill", index));
            text.append(upstream("decode-" + index, "pattern", "decode", index));
            text.append(upstream("ledger-" + index, "ledger", "plain", index));
        }
        return Files.writeString(folder.resolve("inventory.toml"), text);
    }

    private String upstream(final String name, final String service, final String role, final int index) {
        return """
                [[upstream]]
                name = "%s"
                service = "%s"
                role = "%s"
                address = "127.0.0.1:%d"
                failure_domain = "%s"
                memory_pieces = %d
                """
                .formatted(name, service, role, port(name), DOMAINS.get(index), shape.memoryPieces());
    }

    /** Writes the rules. */
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
     * Sizes of a site.
     *
     * @param memoryPieces pieces of memory of each engine
     * @param prefillMilliseconds time for a prompt in milliseconds
     * @param tokenMilliseconds time between tokens in milliseconds
     * @param tokensPerSecond rate of the first team
     * @param burstTokens burst of the first team
     * @param coldStartFloor attempts that a cold engine gets at first
     * @param upstreamSilence how long an upstream may send nothing, not null
     */
    record Shape(
            int memoryPieces,
            int prefillMilliseconds,
            int tokenMilliseconds,
            long tokensPerSecond,
            long burstTokens,
            int coldStartFloor,
            String upstreamSilence) {
        /** The site of the demonstration. */
        static final Shape DEMO = new Shape(24, 40, 15, 2000, 20_000, 2, "3s");
    }
}
