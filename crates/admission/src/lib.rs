//! Grant accounting, grant sizing, priority queue and retry-after estimates.
