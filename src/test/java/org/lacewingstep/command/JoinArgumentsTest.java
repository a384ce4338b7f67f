package org.lacewingstep.command;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that an instance starts without the classes of the command line library. */
class JoinArgumentsTest {
    @Test
    void plainArgumentsAreParsed() {
        assertThat(JoinArguments.parse("join", "--settings", "a.json", "--metrics-port", "9000"))
                .contains(new JoinArguments(Path.of("a.json"), 9000, "info"));
        assertThat(JoinArguments.parse("join", "--log-level", "debug", "--settings", "a.json"))
                .contains(new JoinArguments(Path.of("a.json"), 9464, "debug"));
    }

    @Test
    void otherArgumentsAreLeftToTheCommandLineLibrary() {
        assertThat(JoinArguments.parse()).isEmpty();
        assertThat(JoinArguments.parse("serve", "--settings", "a.json")).isEmpty();
        assertThat(JoinArguments.parse("join")).isEmpty();
        assertThat(JoinArguments.parse("join", "--help")).isEmpty();
        assertThat(JoinArguments.parse("join", "--settings")).isEmpty();
        assertThat(JoinArguments.parse("join", "--settings=a.json", "--metrics-port", "9000"))
                .isEmpty();
        assertThat(JoinArguments.parse("join", "--settings", "a.json", "--metrics-port", "many"))
                .isEmpty();
        assertThat(JoinArguments.parse("join", "--settings", "a.json", "--unknown", "b"))
                .isEmpty();
    }

    @Test
    void startOfAnInstanceLoadsNoClassOfTheCommandLineLibrary() throws Exception {
        final Process process = new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-Xlog:class+load:stdout",
                        "--sun-misc-unsafe-memory-access=allow",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        Main.REHEARSE_COMMAND)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();

        final List<String> lines = process.inputReader().readAllLines();

        final Set<String> loaded = lines.stream()
                .filter(line -> line.contains(" source: "))
                .map(line -> line.substring(line.lastIndexOf(']') + 1).trim().split(" ")[0])
                .collect(Collectors.toSet());
        assertThat(process.waitFor()).isZero();
        assertThat(loaded).contains(PlatformProcess.class.getName());
        assertThat(loaded).noneMatch(name -> name.startsWith("picocli."));
    }
}
