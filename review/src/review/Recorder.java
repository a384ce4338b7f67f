package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of a case, with the seconds since its start. */
final class Recorder implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter writer;

    Recorder(final Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Returns the seconds since the start of the case. */
    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void log(final String format, final Object... values) {
        writer.println(String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, values));
        writer.flush();
    }

    /** Records a line and prints it too. */
    void tell(final String format, final Object... values) {
        log(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    @Override
    public void close() {
        writer.close();
    }
}
