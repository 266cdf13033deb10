//! Deterministic fold of a budget stream: top-ups, grants, charges, intents.
