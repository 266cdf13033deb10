//! The callers' port, and what passes it.

use std::sync::Arc;

use swiftlink_shell::web::{
    BodyCounts, BodyMemory, Gate, Intake, IntakeCounts, Meter, MeteredBytes,
};

/// The callers' port.
#[derive(Clone, Debug)]
pub(crate) struct Port {
    pub(crate) gate: Arc<Gate>,
    pub(crate) intake: Arc<Intake>,
    pub(crate) meter: Arc<Meter>,
    pub(crate) memory: Arc<BodyMemory>,
}

/// New connections, bytes and bodies that weren't read, since the start or since an earlier reading.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reading {
    pub(super) counts: IntakeCounts,
    pub(super) bytes: MeteredBytes,
    pub(super) bodies: BodyCounts,
}

impl Port {
    /// What passed since the reading `before`, which is replaced by that of now.
    pub(super) fn advance(&self, before: &mut Reading) -> Reading {
        let now = Reading {
            counts: self.intake.counts(),
            bytes: self.meter.total(),
            bodies: self.memory.counts(),
        };
        let recent = Reading {
            counts: now.counts.since(&before.counts),
            bytes: now.bytes.since(&before.bytes),
            bodies: now.bodies.since(&before.bodies),
        };
        *before = now;
        recent
    }
}
