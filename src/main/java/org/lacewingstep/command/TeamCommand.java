package org.lacewingstep.command;

import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;

import org.lacewingstep.domain.Configuration;
import org.lacewingstep.domain.KeyDigest;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.error.ErrorCode;
import org.lacewingstep.error.RouterException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Grants and withdraws API keys of teams. */
@Command(name = "team", mixinStandardHelpOptions = true, description = "Grants and withdraws the keys of teams.")
final class TeamCommand {
    private static final int KEY_BYTES = 24;

    @Spec
    private CommandSpec spec;

    /**
     * Grants a new random key and prints it; the key cannot be printed again, as the store holds only its digest.
     *
     * @param store the address option of the store, not null
     * @param name the name of the team, not null
     * @return the exit code
     */
    @Command(name = "grant-key", mixinStandardHelpOptions = true, description = "Prints a new key of a team.")
    int grantKey(@Mixin final StoreAddressOption store, @Parameters(paramLabel = "TEAM") final String name) {
        final byte[] keyBytes = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(keyBytes);
        final String key = HexFormat.of().formatHex(keyBytes);
        ConfigurationEditor.edit(store.address(), current -> grant(current, KeyDigest.of(key), new TeamName(name)));
        spec.commandLine().getOut().println(key);
        return 0;
    }

    /**
     * Withdraws a granted key.
     *
     * @param store the address option of the store, not null
     * @param key the key in clear text, not null
     * @return the exit code
     */
    @Command(name = "withdraw-key", mixinStandardHelpOptions = true, description = "Withdraws a key.")
    int withdrawKey(@Mixin final StoreAddressOption store, @Parameters(paramLabel = "KEY") final String key) {
        final long generation =
                ConfigurationEditor.edit(store.address(), current -> withdraw(current, KeyDigest.of(key)));
        spec.commandLine().getOut().println("generation " + generation + " is in the store");
        return 0;
    }

    private static Configuration grant(final Configuration current, final KeyDigest digest, final TeamName team) {
        if (!current.teams().containsKey(team)) {
            throw new RouterException(
                    ErrorCode.CONFIGURATION_INVALID, "grant-key", team.value(), "there is no such team");
        }
        final Map<KeyDigest, TeamName> keys = new HashMap<>(current.keys());
        keys.put(digest, team);
        return current.withKeys(keys);
    }

    private static Configuration withdraw(final Configuration current, final KeyDigest digest) {
        final Map<KeyDigest, TeamName> keys = new HashMap<>(current.keys());
        if (keys.remove(digest) == null) {
            throw new RouterException(
                    ErrorCode.CONFIGURATION_INVALID, "withdraw-key", "key", "this key is not granted");
        }
        return current.withKeys(keys);
    }
}
