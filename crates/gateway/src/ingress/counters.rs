//! Metrics of the callers' port.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use swiftlink_shell::web::{BodyMemory, IntakeCounts, MeteredBytes};

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ConnectionLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ByteLabels {
    direction: &'static str,
}

/// Counters of callers' connections and of what they carry.
#[derive(Clone, Debug, Default)]
pub(crate) struct PortCounters {
    connections: Family<ConnectionLabels, Counter>,
    bytes: Family<ByteLabels, Counter>,
    body_bytes: Gauge,
    body_limit: Gauge,
}

impl PortCounters {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let connections =
            "Connections of callers: taken, refused or closed at the limit, failed, stalled";
        registry.register("connections", connections, self.connections.clone());
        let bytes = "Bytes of callers' requests and of responses, refused requests included";
        registry.register("callers_bytes", bytes, self.bytes.clone());
        let held = "Memory that the bodies of callers' requests take";
        registry.register("body_memory_bytes", held, self.body_bytes.clone());
        let limit = "Largest memory that the bodies of callers' requests may take";
        registry.register("body_memory_limit_bytes", limit, self.body_limit.clone());
    }

    /// Sets the memory of callers' bodies.
    pub(crate) fn set_bodies(&self, memory: &BodyMemory) {
        self.body_bytes.set(memory.held().cast_signed() as i64);
        self.body_limit.set(memory.limit().cast_signed() as i64);
    }

    /// Counts new connections.
    pub(crate) fn connected(&self, counts: &IntakeCounts) {
        let outcomes = [
            ("taken", counts.taken),
            ("refused", counts.refused),
            ("closed", counts.closed),
            ("failed", counts.failed),
            ("stalled", counts.stalled),
        ];
        for (outcome, count) in outcomes {
            let labels = ConnectionLabels { outcome };
            self.connections.get_or_create(&labels).inc_by(count);
        }
    }

    /// Counts bytes of requests and responses.
    pub(crate) fn carried(&self, bytes: &MeteredBytes) {
        for (direction, count) in [("received", bytes.received), ("sent", bytes.sent)] {
            let labels = ByteLabels { direction };
            self.bytes.get_or_create(&labels).inc_by(count);
        }
    }
}
