//! Speeds of a pool's servers: this router's samples for the router that merges them, and the
//! speeds that it returns.
//!
//! The merging is that of [`swiftlink_routing::SpeedTable`]; [`decode_sample`] and [`encode_speed`]
//! convert its input and output.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};

use swiftlink_routing::{ServerSample as Sample, ServerSpeed as Speed, SpeedSummary};
use swiftlink_telemetry::event;
use swiftlink_types::{Micros, ServerInstance, ServerName};
use swiftlink_wire::link::{ServerSample, ServerSpeed};

use super::Pool;

/// Minimum time between two log lines of a pool (µs).
const LOG_INTERVAL: Micros = 5_000_000;

/// Limits the log lines about changed speeds.
#[derive(Debug, Default)]
pub(super) struct SpeedLog {
    /// When the next line may be logged.
    next_at: AtomicU64,
    /// Changes since the last line.
    changed: AtomicUsize,
}

impl SpeedLog {
    /// Counts changes. Returns those to log now, if a line is due.
    fn count(&self, now: Micros, changed: usize) -> Option<usize> {
        self.changed.fetch_add(changed, Relaxed);
        if now < self.next_at.load(Relaxed) {
            return None;
        }
        let changed = self.changed.swap(0, Relaxed);
        if changed == 0 {
            return None;
        }
        self.next_at.store(now + LOG_INTERVAL, Relaxed);
        Some(changed)
    }
}

impl Pool {
    /// Takes the samples of the servers' speeds since the last call, for the pool's report.
    #[must_use]
    pub fn take_samples(&self) -> Vec<ServerSample> {
        let samples = self.fleet().take_samples();
        samples.into_iter().map(encode_sample).collect()
    }

    /// Applies the speeds of a summary.
    pub fn apply_speeds(&self, speeds: &[ServerSpeed]) {
        let now = self.now();
        let speeds: Vec<Speed> = speeds.iter().map(decode_speed).collect();
        let mut fleet = self.fleet();
        let changed = fleet.apply_speeds(now, &speeds);
        let Some(changed) = self.speed_log.count(now, changed) else {
            return;
        };
        let summary = fleet.speed_summary();
        drop(fleet);
        event!(
            info,
            "pool.speeds_changed",
            pool = self.name,
            changes = changed,
            known = summary.known,
            slowest_milli = summary.slowest_milli,
            fastest_milli = summary.fastest_milli,
        );
    }

    /// Summary of the known speeds.
    #[must_use]
    pub fn speed_summary(&self) -> SpeedSummary {
        self.fleet().speed_summary()
    }
}

fn encode_sample(sample: Sample) -> ServerSample {
    ServerSample {
        server: sample.server.name.to_string(),
        born: sample.server.started,
        work: sample.work,
        time_us: sample.time,
        samples: sample.count,
    }
}

/// The sample in a router's report.
#[must_use]
pub fn decode_sample(message: &ServerSample) -> Sample {
    Sample {
        server: instance(&message.server, message.born),
        work: message.work,
        time: message.time_us,
        count: message.samples,
    }
}

/// The message that tells a router a speed.
#[must_use]
pub fn encode_speed(speed: Speed) -> ServerSpeed {
    ServerSpeed {
        server: speed.server.name.to_string(),
        born: speed.server.started,
        ratio_milli: speed.ratio_milli,
        samples: speed.samples,
        share_milli: speed.share_milli,
    }
}

fn decode_speed(message: &ServerSpeed) -> Speed {
    Speed {
        server: instance(&message.server, message.born),
        ratio_milli: message.ratio_milli,
        share_milli: message.share_milli,
        samples: message.samples,
    }
}

fn instance(name: &str, started: u64) -> ServerInstance {
    ServerInstance::new(ServerName::from(name), started)
}
