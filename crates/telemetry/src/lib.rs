//! Key=value logs and StatsD metrics.
