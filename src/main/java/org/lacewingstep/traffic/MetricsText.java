package org.lacewingstep.traffic;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/** Formats metrics as text with one name and value per line. */
final class MetricsText {
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private MetricsText() {}

    /**
     * Formats all gauges, counters and timers; times are in milliseconds.
     *
     * @param metrics the registry of the metrics, not null
     * @return the text, one line per value, never null
     */
    static String of(final MetricRegistry metrics) {
        final StringBuilder text = new StringBuilder();
        metrics.getGauges().forEach((name, gauge) -> appendLine(text, name, "", gauge.getValue()));
        metrics.getCounters().forEach((name, counter) -> appendLine(text, name, "", counter.getCount()));
        metrics.getTimers().forEach((name, timer) -> {
            final Snapshot snapshot = timer.getSnapshot();
            appendLine(text, name, "_count", timer.getCount());
            appendLine(text, name, "_p50_ms", snapshot.getMedian() / NANOSECONDS_PER_MILLISECOND);
            appendLine(text, name, "_p95_ms", snapshot.get95thPercentile() / NANOSECONDS_PER_MILLISECOND);
            appendLine(text, name, "_p99_ms", snapshot.get99thPercentile() / NANOSECONDS_PER_MILLISECOND);
            appendLine(text, name, "_max_ms", snapshot.getMax() / NANOSECONDS_PER_MILLISECOND);
        });
        return text.toString();
    }

    private static void appendLine(
            final StringBuilder text, final String name, final String suffix, final Object value) {
        text.append("lacewingstep_")
                .append(name.replace('.', '_'))
                .append(suffix)
                .append(' ')
                .append(value)
                .append('\n');
    }
}
