package org.lacewingstep.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.lacewingstep.error.RouterException;
import org.lacewingstep.platform.PlatformSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/** Reads the platform's settings file again on SIGHUP and when it has changed. */
final class SettingsWatch implements AutoCloseable {
    /** Time between two looks at the file, well within the time in which settings take effect. */
    private static final long INTERVAL_MILLISECONDS = 1000;

    private static final Logger LOGGER = LoggerFactory.getLogger(SettingsWatch.class);

    private final Consumer<PlatformSettings> changed;
    private final Path file;
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(task -> {
        final Thread thread = new Thread(task, "settings");
        thread.setDaemon(true);
        return thread;
    });

    private FileTime known;

    /**
     * Creates a watch.
     *
     * @param file the file, not null
     * @param changed receives the settings after a change, not null
     */
    SettingsWatch(final Path file, final Consumer<PlatformSettings> changed) {
        this.file = file;
        this.changed = changed;
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }

    /** Starts to watch. */
    void start() {
        known = modified();
        Signal.handle(new Signal("HUP"), signal -> scheduler.execute(this::read));
        scheduler.scheduleWithFixedDelay(
                this::look, INTERVAL_MILLISECONDS, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    private void look() {
        final FileTime latest = modified();
        if (!latest.equals(known)) {
            known = latest;
            read();
        }
    }

    private void read() {
        try {
            changed.accept(PlatformSettings.read(file));
        } catch (final RouterException failure) {
            LOGGER.atError()
                    .addKeyValue("step", "reload")
                    .log("the settings stay as they were: {}", failure.getMessage());
        }
    }

    private FileTime modified() {
        try {
            return Files.getLastModifiedTime(file);
        } catch (final IOException failure) {
            LOGGER.atWarn()
                    .addKeyValue("step", "reload")
                    .log("the settings file cannot be found: {}", failure.toString());
            return known;
        }
    }
}
