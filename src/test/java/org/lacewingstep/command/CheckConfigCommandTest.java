package org.lacewingstep.command;

import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lacewingstep.standin.PlatformStoreStandIn;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the exit codes of the check of a routing document. */
class CheckConfigCommandTest {
    private static final String DOCUMENT =
            """
            {"version":1,"routes":[{"name":"one","host":"a.example","pathPrefix":"/a/","kind":"safe",
            "timeoutMs":1000,"targetLatencyMs":200,"maxAttempts":2,"service":"s"}],
            "services":[{"name":"s","maxConnections":610}],"limits":{},"tenants":[]}""";

    @TempDir
    private Path folder;

    @Test
    void soundDocumentExitsWithZero() throws Exception {
        assertThat(Main.run("check-config", "--strict", file(DOCUMENT))).isZero();
    }

    @Test
    void warningsExitWithOneIfStrict() throws Exception {
        final String slow = file(DOCUMENT.replace("\"targetLatencyMs\":200", "\"targetLatencyMs\":2000"));

        assertThat(Main.run("check-config", slow)).isZero();
        assertThat(Main.run("check-config", "--strict", "--json", slow)).isEqualTo(1);
    }

    @Test
    void errorsExitWithTwo() throws Exception {
        assertThat(Main.run("check-config", file(DOCUMENT.replace("/a/", "/a"))))
                .isEqualTo(2);
        assertThat(Main.run("check-config", folder.resolve("absent").toString()))
                .isEqualTo(2);
    }

    @Test
    void documentInForceIsReadFromTheStore() throws Exception {
        try (PlatformStoreStandIn store = new PlatformStoreStandIn()) {
            store.put("op/config", DOCUMENT);
            assertThat(Main.run("check-config", file(DOCUMENT), "--store", "127.0.0.1:" + store.port()))
                    .isZero();
            store.put("op/config", "[]");
            assertThat(Main.run("check-config", file(DOCUMENT), "--store", "127.0.0.1:" + store.port()))
                    .isEqualTo(2);
        }
    }

    private String file(final String text) throws Exception {
        return Files.writeString(Files.createTempFile(folder, "config", ".json"), text)
                .toString();
    }
}
