package org.lacewingstep.traffic;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/** Writes metrics as text, a name and a value a line. */
final class MetricsText {
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private MetricsText() {}

    /**
     * Writes all metrics.
     *
     * @param metrics the metrics, not null
     * @return the text, never null
     */
    static String of(final MetricRegistry metrics) {
        final StringBuilder text = new StringBuilder();
        metrics.getGauges().forEach((name, gauge) -> line(text, name, "", gauge.getValue()));
        metrics.getCounters().forEach((name, counter) -> line(text, name, "", counter.getCount()));
        metrics.getTimers().forEach((name, timer) -> {
            final Snapshot snapshot = timer.getSnapshot();
            line(text, name, "_count", timer.getCount());
            line(text, name, "_p50_ms", snapshot.getMedian() / NANOSECONDS_PER_MILLISECOND);
            line(text, name, "_p95_ms", snapshot.get95thPercentile() / NANOSECONDS_PER_MILLISECOND);
            line(text, name, "_p99_ms", snapshot.get99thPercentile() / NANOSECONDS_PER_MILLISECOND);
            line(text, name, "_max_ms", snapshot.getMax() / NANOSECONDS_PER_MILLISECOND);
        });
        return text.toString();
    }

    private static void line(final StringBuilder text, final String name, final String suffix, final Object value) {
        text.append("lacewingstep_")
                .append(name.replace('.', '_'))
                .append(suffix)
                .append(' ')
                .append(value)
                .append('\n');
    }
}
