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

/** The platform's list: names the instances whose liveness check succeeded lately. */
final class InstanceListStandIn implements Action<Chain> {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<String> operatorAddresses;
    private final Map<String, JsonNode> seen = new ConcurrentHashMap<>();

    /**
     * Creates a list.
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
            seen.values().forEach(live -> instances
                    .addObject()
                    .put("name", live.path("instance").asText())
                    .put("incarnation", live.path("incarnation").asLong()));
            context.getResponse().send("application/json", body.toString());
        });
    }

    /**
     * Checks every instance once.
     *
     * @param client the HTTP client, not null
     * @param execution runs the checks, not null
     */
    void check(final HttpClient client, final ExecController execution) {
        for (final String address : operatorAddresses) {
            execution.fork().onError(failure -> seen.remove(address)).start(started -> client.get(
                            URI.create("http://" + address + "/live"))
                    .then(answer ->
                            seen.put(address, MAPPER.readTree(answer.getBody().getText()))));
        }
    }
}
