package org.lacewingstep.platform;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingstep.error.RouterException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests that a routing document is checked by the rules by which instances take it. */
class RoutingDocumentTest {
    private static final String DOCUMENT =
            """
            {"version":7,"routes":[{"name":"one","host":"a.example","pathPrefix":"/a/","kind":"streaming",
            "timeoutMs":14000,"targetLatencyMs":900,"maxAttempts":2,"resumable":true,"gapAimMs":300,"service":"s"}],
            "services":[{"name":"s","maxConnections":610,"engine":{"kvTokens":30000,"holdMs":2000}}],
            "limits":{"maxBodyBytes":4194304},
            "tenants":[{"name":"team","apiKeys":["k1"],"ratePerS":49185,"burst":49185}]}""";

    @Property(tries = 2000, seed = "1", shrinking = ShrinkingMode.OFF)
    void documentIsAnErrorExactlyIfInstancesRejectIt(
            @ForAll @IntRange(max = 480) final int at, @ForAll @Size(max = 6) final byte[] replacement) {
        final byte[] bytes = DOCUMENT.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < replacement.length; i++) {
            bytes[(at + i) % bytes.length] = replacement[i];
        }
        final String text = new String(bytes, StandardCharsets.UTF_8);

        assertThat(isAccepted(text)).as(text).isEqualTo(isTaken(text));
    }

    @ParameterizedTest
    @CsvSource({
        "'\"pathPrefix\":\"/a/\"', '\"pathPrefix\":\"/a\"', 'routes[0]: '",
        "'\"timeoutMs\":14000', '\"timeoutMs\":-1', 'routes[0]: '",
        "'\"maxConnections\":610', '\"maxConnections\":0', 'services[0]: '",
        "'\"ratePerS\":49185', '\"ratePerS\":-1', 'tenants[0]: '",
        "'\"version\":7', '\"version\":\"x\"', 'version'"
    })
    void errorNamesThePlace(final String sound, final String faulty, final String place) {
        assertThatThrownBy(() -> RoutingDocument.parse("new.json", DOCUMENT.replace(sound, faulty)))
                .isInstanceOf(RouterException.class)
                .hasMessageContaining(place);
    }

    @Test
    void errorOfSyntaxNamesTheLine() {
        assertThatThrownBy(() -> RoutingDocument.parse("new.json", DOCUMENT.replace("\"services\"", "services")))
                .isInstanceOf(RouterException.class)
                .hasMessageContaining("line 3:");
    }

    @Test
    void keyOfTwoTeamsIsFound() {
        final String two = DOCUMENT.replace("}]}", "},{\"name\":\"other\",\"apiKeys\":[\"k2\",\"k1\"]}]}");

        assertThat(RoutingDocument.parse("new.json", two).sharedKeys()).containsExactly("other/1");
    }

    private static boolean isAccepted(final String text) {
        try {
            RoutingDocument.parse("new.json", text);
            return true;
        } catch (final RouterException rejected) {
            return false;
        }
    }

    private static boolean isTaken(final String text) {
        return PlatformStoreCodec.decode(
                        new ObjectMapper()
                                .createObjectNode()
                                .put("key", PlatformStoreCodec.ROUTING_KEY)
                                .put("value", Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)))
                                .put("revision", 1),
                        0)
                .isPresent();
    }
}
