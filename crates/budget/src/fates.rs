//! Constructors of the fates that several kinds of records share.

use swiftlink_wire::log as wire;
use wire::RejectReason;
use wire::fate::Kind;

/// The record was applied.
pub(crate) fn applied() -> Kind {
    Kind::Applied(wire::Applied {})
}

/// The record is a copy of one that was applied before.
pub(crate) fn duplicate() -> Kind {
    Kind::Duplicate(wire::Duplicate {})
}

/// The record was rejected and changed nothing.
pub(crate) fn rejected(reason: RejectReason) -> Kind {
    Kind::Rejected(wire::Rejected {
        reason: reason.into(),
    })
}

/// The record is malformed for its kind.
pub(crate) fn malformed() -> Kind {
    rejected(RejectReason::Malformed)
}

/// The record names an incarnation that never joined or was dropped.
pub(crate) fn unknown() -> Kind {
    rejected(RejectReason::UnknownIncarnation)
}
