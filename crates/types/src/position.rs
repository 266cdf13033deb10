//! Positions of records in the store's feeds.
//!
//! A store that comes back from an older copy of itself assigns offsets again. It begins a new *era*
//! then, and the offsets of two eras must not be compared. A position is the era in the upper bits
//! and the offset in the lower ones, so that each position of a later era comes after all earlier
//! ones. A store without eras is always in era 0, where positions are offsets.

/// Bits of the offset: a million records a second for twelve days.
const OFFSET_BITS: u32 = 40;

/// The position of `offset` in `era`.
#[must_use]
pub fn position(era: u64, offset: u64) -> u64 {
    (era << OFFSET_BITS) | (offset & MAX_OFFSET)
}

/// Largest offset.
const MAX_OFFSET: u64 = (1 << OFFSET_BITS) - 1;

/// The era of a position.
#[must_use]
pub fn era_of(position: u64) -> u64 {
    position >> OFFSET_BITS
}

/// The offset of a position in its era.
#[must_use]
pub fn offset_of(position: u64) -> u64 {
    position & MAX_OFFSET
}
