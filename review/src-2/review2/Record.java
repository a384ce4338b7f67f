package review2;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, with the milliseconds since the start. */
final class Record implements AutoCloseable {
    private final long startedAt = System.nanoTime();
    private final PrintWriter writer;

    Record(final Path file) {
        try {
            writer = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (final IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    long millis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void line(final String text) {
        writer.printf("%7d ms  %s%n", millis(), text);
    }

    @Override
    public void close() {
        writer.close();
    }
}
