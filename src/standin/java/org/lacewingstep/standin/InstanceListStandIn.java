package org.lacewingstep.standin;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ratpack.exec.ExecController;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.http.client.HttpClient;

/** Simulates the platform's instance list, which contains the instances whose last liveness check succeeded. */
final class InstanceListStandIn implements Action<Chain> {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<String> operatorAddresses;
    private final Map<String, JsonNode> liveInstances = new ConcurrentHashMap<>();

    /**
     * Creates an empty list.
     *
     * @param operatorAddresses the operator addresses of the instances, not null
     */
    InstanceListStandIn(final List<String> operatorAddresses) {
        this.operatorAddresses = List.copyOf(operatorAddresses);
    }

    @Override
    public void execute(final Chain chain) {
        chain.get("instances", context -> {
            final ObjectNode body = MAPPER.createObjectNode();
            final ArrayNode instances = body.putArray("instances");
            liveInstances.values().forEach(liveness -> instances
                    .addObject()
                    .put("name", liveness.path("instance").asText())
                    .put("incarnation", liveness.path("incarnation").asLong()));
            context.getResponse().send("application/json", body.toString());
        });
    }

    /**
     * Starts one liveness check of every instance.
     *
     * @param client the HTTP client, not null
     * @param execution the controller that executes the checks, not null
     */
    void checkInstances(final HttpClient client, final ExecController execution) {
        for (final String address : operatorAddresses) {
            execution.fork().onError(failure -> liveInstances.remove(address)).start(started -> client.get(
                            URI.create("http://" + address + "/live"))
                    .then(response -> liveInstances.put(
                            address, MAPPER.readTree(response.getBody().getText()))));
        }
    }
}
