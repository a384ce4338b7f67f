package org.lacewingstep.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.lacewingstep.domain.Access;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.CellPlanner;
import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.FailureDomain;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.Service;
import org.lacewingstep.domain.ServiceKind;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.Team;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.Upstream;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;

/** Compiles the inventory file and the rules file of the operators into a configuration. */
public final class InventoryCompiler {
    private static final int DEFAULT_UPSTREAMS_PER_CELL = 4;

    private final Configuration current;
    private final TomlTable inventory;
    private final TomlTable rules;
    private final Map<FailureDomainName, FailureDomain> failureDomains = new HashMap<>();
    private final Map<ServiceName, Service> services = new HashMap<>();
    private final Map<TeamName, Team> teams = new HashMap<>();
    private final Map<UpstreamName, Upstream> upstreams = new HashMap<>();

    private InventoryCompiler(final TomlTable inventory, final TomlTable rules, final Configuration current) {
        this.inventory = inventory;
        this.rules = rules;
        this.current = current;
    }

    /**
     * Compiles the next configuration. API keys of teams that still exist, the out-of-service state of failure domains
     * and the leaving state of upstreams are carried over from the current configuration.
     *
     * @param inventoryFile the inventory file, not null
     * @param rulesFile the rules file, not null
     * @param current the configuration that is replaced, not null
     * @return the next configuration, never null
     * @throws RouterException if a file is invalid; the message lists every fault of both files
     */
    public static Configuration compile(final Path inventoryFile, final Path rulesFile, final Configuration current) {
        final InventoryCompiler compiler =
                new InventoryCompiler(TomlFile.read(inventoryFile), TomlFile.read(rulesFile), current);
        return compiler.compile();
    }

    private Configuration compile() {
        inventory.rejectUnknownKeys(Set.of("failure_domain", "service", "team", "upstream"));
        rules.rejectUnknownKeys(Set.of("route", "upstreams_per_cell"));
        readFailureDomains();
        readTeams();
        readServices();
        readUpstreams();
        final List<String> faults = new ArrayList<>(inventory.faults().lines());
        faults.addAll(rules.faults().lines());
        if (!faults.isEmpty()) {
            throw new RouterException(
                    ErrorCode.CONFIGURATION_INVALID, "check", "inventory and rules", String.join("\n", faults));
        }
        return new Configuration(
                current.generation() + 1, failureDomains, services, upstreams, teams, keysOfRemainingTeams());
    }

    private Map<KeyDigest, TeamName> keysOfRemainingTeams() {
        final Map<KeyDigest, TeamName> kept = new HashMap<>(current.keys());
        kept.values().removeIf(team -> !teams.containsKey(team));
        return kept;
    }

    private void readFailureDomains() {
        for (final TomlTable table : inventory.readTables("failure_domain")) {
            table.rejectUnknownKeys(Set.of("name"));
            final FailureDomainName name = table.readParsed("name", FailureDomainName::new, null);
            final FailureDomain previous =
                    name == null ? null : current.failureDomains().get(name);
            final boolean takenOut = previous != null && previous.takenOut();
            if (name != null && failureDomains.put(name, new FailureDomain(name, takenOut)) != null) {
                table.addFault("name", "must be unique; " + name + " is declared twice");
            }
        }
    }

    private void readTeams() {
        for (final TomlTable table : inventory.readTables("team")) {
            table.rejectUnknownKeys(Set.of("name", "tokens_per_second", "burst_tokens"));
            final TeamName name = table.readParsed("name", TeamName::new, null);
            final long rate = table.readInteger("tokens_per_second", 1, Integer.MAX_VALUE, 0);
            final long burst = table.readInteger("burst_tokens", 2 * rate, Long.MAX_VALUE / 2, 0);
            if (name != null && teams.put(name, new Team(name, rate, burst)) != null) {
                table.addFault("name", "must be unique; " + name + " is declared twice");
            }
        }
    }

    private void readServices() {
        final Map<ServiceName, Access> routes = readRoutes();
        for (final TomlTable table : inventory.readTables("service")) {
            table.rejectUnknownKeys(Set.of("name", "model", "path", "repeatable", "tokens_per_call"));
            final ServiceName name = table.readParsed("name", ServiceName::new, null);
            final ServiceKind kind = readKind(table);
            if (name == null || kind == null) {
                continue;
            }
            final Access access = routes.remove(name);
            if (access == null) {
                table.addFault("name", "needs a [[route]] in the rules; " + name + " has none");
            } else if (services.put(name, new Service(name, kind, access)) != null) {
                table.addFault("name", "must be unique; " + name + " is declared twice");
            }
        }
        routes.keySet().forEach(name -> rules.addFault("route", "names the unknown service " + name));
    }

    private static ServiceKind readKind(final TomlTable table) {
        if (table.hasKey("model") == table.hasKey("path")) {
            table.addFault("model", "exactly one of model and path must be given");
            return null;
        }
        if (table.hasKey("model")) {
            return table.readParsed("model", ServiceKind.Model::new, null);
        }
        final boolean repeatable = table.readBoolean("repeatable", false);
        final long tokens = table.readInteger("tokens_per_call", 0, Integer.MAX_VALUE, 1);
        return table.readParsed("path", path -> new ServiceKind.Plain(path, repeatable, tokens), null);
    }

    private Map<ServiceName, Access> readRoutes() {
        final Map<ServiceName, Access> routes = new HashMap<>();
        for (final TomlTable table : rules.readTables("route")) {
            table.rejectUnknownKeys(Set.of("service", "teams", "open"));
            final ServiceName service = table.readParsed("service", ServiceName::new, null);
            final boolean open = table.readBoolean("open", false);
            final Set<TeamName> allowed = readRouteTeams(table);
            if (open == table.hasKey("teams")) {
                table.addFault("teams", "give either teams = [\"...\"] or open = true");
            }
            final Access access = open ? new Access.OpenToAll() : new Access.OpenToTeams(allowed);
            if (service != null && routes.put(service, access) != null) {
                table.addFault("service", "must be unique; " + service + " has two routes");
            }
        }
        return routes;
    }

    private Set<TeamName> readRouteTeams(final TomlTable table) {
        final Set<TeamName> allowed = new HashSet<>();
        for (final String text : table.readStrings("teams")) {
            if (text.isBlank() || !teams.containsKey(new TeamName(text))) {
                table.addFault("teams", "names the unknown team '" + text + "'");
            } else {
                allowed.add(new TeamName(text));
            }
        }
        return allowed;
    }

    private void readUpstreams() {
        final Map<UpstreamName, TomlTable> tables = new HashMap<>();
        final Map<ServiceName, Map<UpstreamName, UpstreamRole>> roles = new HashMap<>();
        for (final TomlTable table : inventory.readTables("upstream")) {
            table.rejectUnknownKeys(Set.of("name", "service", "role", "address", "failure_domain", "memory_pieces"));
            final UpstreamName name = table.readParsed("name", UpstreamName::new, null);
            final ServiceName service = parseReference(table, "service", ServiceName::new, services.keySet());
            final UpstreamRole role = table.readParsed("role", InventoryCompiler::parseRole, null);
            if (name != null && tables.put(name, table) != null) {
                table.addFault("name", "must be unique; " + name + " is declared twice");
            }
            if (name != null && service != null && role != null) {
                checkRole(table, services.get(service), role);
                roles.computeIfAbsent(service, key -> new HashMap<>()).put(name, role);
            }
        }
        final int perCell =
                (int) rules.readInteger("upstreams_per_cell", 1, Short.MAX_VALUE, DEFAULT_UPSTREAMS_PER_CELL);
        roles.forEach((service, members) -> {
            final Map<UpstreamName, CellName> cells =
                    CellPlanner.assign(service, members, currentCells(service), perCell);
            members.forEach((name, role) -> readUpstream(tables.get(name), name, service, role, cells.get(name)));
        });
        services.keySet().stream()
                .filter(service -> !roles.containsKey(service))
                .forEach(service -> inventory.addFault("service", service + " needs at least one upstream"));
        roles.forEach(this::checkModelRoles);
    }

    private void checkModelRoles(final ServiceName service, final Map<UpstreamName, UpstreamRole> roles) {
        final boolean model = services.get(service).kind() instanceof ServiceKind.Model;
        final boolean complete = roles.containsValue(UpstreamRole.PREFILL) && roles.containsValue(UpstreamRole.DECODE);
        if (model && !complete) {
            inventory.addFault("upstream", service + " needs at least one prefill and one decode upstream");
        }
    }

    private static void checkRole(final TomlTable table, final Service service, final UpstreamRole role) {
        final boolean plain = service.kind() instanceof ServiceKind.Plain;
        if (plain != (role == UpstreamRole.PLAIN)) {
            table.addFault(
                    "role",
                    plain ? "must be \"plain\" for a plain service" : "must be \"prefill\" or \"decode\" for a model");
        }
    }

    private Map<UpstreamName, CellName> currentCells(final ServiceName service) {
        final Map<UpstreamName, CellName> cells = new HashMap<>();
        current.upstreamsOf(service).forEach(upstream -> cells.put(upstream.name(), upstream.cell()));
        return cells;
    }

    private void readUpstream(
            final TomlTable table,
            final UpstreamName name,
            final ServiceName service,
            final UpstreamRole role,
            final CellName cell) {
        final PeerAddress address = table.readParsed("address", PeerAddress::parse, null);
        final FailureDomainName failureDomain =
                parseReference(table, "failure_domain", FailureDomainName::new, failureDomains.keySet());
        final int memoryPieces = (int) table.readInteger("memory_pieces", 1, Integer.MAX_VALUE, 0);
        final Upstream previous = current.upstreams().get(name);
        final boolean leaving = previous != null && previous.leaving();
        if (address != null && failureDomain != null) {
            upstreams.put(name, new Upstream(name, service, role, address, failureDomain, cell, memoryPieces, leaving));
        }
    }

    private static <T> T parseReference(
            final TomlTable table, final String key, final Function<String, T> parse, final Set<T> declared) {
        final T value = table.readParsed(key, parse, null);
        if (value != null && !declared.contains(value)) {
            table.addFault(key, "names the unknown " + key.replace('_', ' ') + " " + value);
            return null;
        }
        return value;
    }

    private static UpstreamRole parseRole(final String text) {
        return switch (text) {
            case "decode" -> UpstreamRole.DECODE;
            case "plain" -> UpstreamRole.PLAIN;
            case "prefill" -> UpstreamRole.PREFILL;
            default -> throw new IllegalArgumentException("must be one of \"decode\", \"plain\", \"prefill\"");
        };
    }
}
