//! Fates as the wire carries them.

use swiftlink_wire::log as wire;
use wire::RejectReason;
use wire::fate::Kind;

/// A record was applied.
pub(crate) fn applied() -> Kind {
    Kind::Applied(wire::Applied {})
}

/// A copy of a record applied before.
pub(crate) fn duplicate() -> Kind {
    Kind::Duplicate(wire::Duplicate {})
}

/// A record was rejected and changed nothing.
pub(crate) fn rejected(reason: RejectReason) -> Kind {
    Kind::Rejected(wire::Rejected {
        reason: reason.into(),
    })
}

/// A record breaks the form of its kind.
pub(crate) fn malformed() -> Kind {
    rejected(RejectReason::Malformed)
}

/// A record names an incarnation that never joined or is forgotten.
pub(crate) fn unknown() -> Kind {
    rejected(RejectReason::UnknownIncarnation)
}
