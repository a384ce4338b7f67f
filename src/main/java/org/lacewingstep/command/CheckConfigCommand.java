package org.lacewingstep.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import org.lacewingstep.inspection.Finding;
import org.lacewingstep.inspection.TableComparison;
import org.lacewingstep.inspection.TableInspection;
import org.lacewingstep.platform.RoutingDocument;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Inspects a platform's routing document before it is sent; reads and never writes. */
@Command(
        name = "check-config",
        mixinStandardHelpOptions = true,
        description = "Checks a platform's routing document: errors, entries that no request can use, limits that"
                + " contradict each other, and the differences from the document in force.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:no errors", "1:warnings, with --strict", "2:errors"})
final class CheckConfigCommand implements Callable<Integer> {
    private static final int EXIT_WARNINGS = 1;

    @Parameters(paramLabel = "NEW", description = "the document to be sent, a JSON file")
    private Path next;

    @ArgGroup
    private Present present;

    @Option(names = "--strict", description = "exits with 1 if there are warnings")
    private boolean strict;

    @Option(names = "--json", description = "prints the findings as JSON")
    private boolean json;

    @Spec
    private CommandSpec spec;

    /** Where the document in force is read. */
    private static final class Present {
        @Option(names = "--against", paramLabel = "OLD", description = "the document in force, a JSON file")
        private Path file;

        @Option(names = "--store", paramLabel = "ADDRESS", description = "the platform's store, host:port")
        private String store;
    }

    @Override
    public Integer call() {
        final RoutingDocument document = read(next);
        final List<Finding> warnings = new ArrayList<>(TableInspection.inspect(document.table()));
        document.sharedKeys().stream()
                .sorted()
                .forEach(place ->
                        warnings.add(new Finding.Contradiction("key " + place, "an earlier entry holds the same key")));
        final List<Finding> findings = new ArrayList<>(warnings);
        if (present != null) {
            findings.addAll(TableComparison.compare(readPresent().table(), document.table()));
        }
        print(findings);
        return strict && !warnings.isEmpty() ? EXIT_WARNINGS : 0;
    }

    private RoutingDocument readPresent() {
        if (present.file != null) {
            return read(present.file);
        }
        final PeerAddress address = PeerAddress.parse(present.store);
        try (BlockingHttpCalls calls = new BlockingHttpCalls()) {
            return RoutingDocument.parseStoreAnswer(
                    calls.run(client -> client.get(URI.create("http://" + address + RoutingDocument.storePath()))
                            .map(response -> response.getBody().getText())));
        }
    }

    private static RoutingDocument read(final Path file) {
        try {
            return RoutingDocument.parse(file.toString(), Files.readString(file));
        } catch (final IOException failure) {
            throw new RouterException(
                    ErrorCode.CONFIGURATION_INVALID, "read", file.toString(), "cannot be read: " + failure, failure);
        }
    }

    private void print(final List<Finding> findings) {
        final PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(toJson(findings));
            return;
        }
        findings.forEach(finding -> out.println(label(finding) + ": " + finding.place() + ": " + finding.message()));
        if (findings.isEmpty()) {
            out.println("no findings");
        }
    }

    private static String label(final Finding finding) {
        return switch (finding) {
            case Finding.Unreachable unreachable -> "unreachable";
            case Finding.Contradiction contradiction -> "contradiction";
            case Finding.Difference(var place, var message, boolean restricts) ->
                restricts ? "difference (restricts)" : "difference";
        };
    }

    private static String toJson(final List<Finding> findings) {
        final ArrayNode list = new ObjectMapper().createArrayNode();
        findings.forEach(finding -> list.addObject()
                .put("kind", label(finding))
                .put("place", finding.place())
                .put("message", finding.message()));
        return list.toString();
    }
}
