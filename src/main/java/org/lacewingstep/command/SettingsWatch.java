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

/** Reloads the settings file of the platform on SIGHUP and when its modification time changes. */
final class SettingsWatch implements AutoCloseable {
    /** Time between two polls of the file, well below the time within which new settings must take effect. */
    private static final long POLL_INTERVAL_MILLISECONDS = 1000;

    private static final Logger LOGGER = LoggerFactory.getLogger(SettingsWatch.class);

    private final Consumer<PlatformSettings> onReload;
    private final Path file;
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(task -> {
        final Thread thread = new Thread(task, "settings");
        thread.setDaemon(true);
        return thread;
    });

    private FileTime lastModified;

    /**
     * Creates a watch that is not started yet.
     *
     * @param file the settings file, not null
     * @param onReload receives the settings after each reload, not null
     */
    SettingsWatch(final Path file, final Consumer<PlatformSettings> onReload) {
        this.file = file;
        this.onReload = onReload;
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }

    /** Starts to receive SIGHUP and to poll the file. */
    void start() {
        lastModified = readModificationTime();
        ReloadSignal.install();
        ReloadSignal.deliverTo(() -> scheduler.execute(this::reload));
        scheduler.scheduleWithFixedDelay(
                this::poll, POLL_INTERVAL_MILLISECONDS, POLL_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    private void poll() {
        final FileTime latest = readModificationTime();
        if (!latest.equals(lastModified)) {
            lastModified = latest;
            reload();
        }
    }

    private void reload() {
        try {
            onReload.accept(PlatformSettings.read(file));
        } catch (final RouterException failure) {
            LOGGER.atError()
                    .addKeyValue("step", "reload")
                    .log("cannot reload the settings, keeping the previous ones: {}", failure.getMessage());
        }
    }

    private FileTime readModificationTime() {
        try {
            return Files.getLastModifiedTime(file);
        } catch (final IOException failure) {
            LOGGER.atWarn()
                    .addKeyValue("step", "reload")
                    .log("cannot read the modification time of the settings file: {}", failure.toString());
            return lastModified;
        }
    }
}
