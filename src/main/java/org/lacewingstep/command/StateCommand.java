package org.lacewingstep.command;

import java.net.URI;
import java.util.concurrent.Callable;

import org.lacewingstep.domain.PeerAddress;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Prints the state dump of a running instance. */
@Command(name = "state", mixinStandardHelpOptions = true, description = "Prints the state of a running instance.")
final class StateCommand implements Callable<Integer> {
    @Option(
            names = "--instance",
            required = true,
            paramLabel = "ADDRESS",
            description = "the instance's operator address, host:port")
    private String instance;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        final PeerAddress address = PeerAddress.parse(instance);
        try (BlockingHttpCalls calls = new BlockingHttpCalls()) {
            final String state = calls.run(client -> client.get(URI.create("http://" + address + "/state"))
                    .map(response -> response.getBody().getText()));
            spec.commandLine().getOut().println(state);
        }
        return 0;
    }
}
