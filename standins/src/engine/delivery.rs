//! The order in which one connection gets a stream's events, including injected faults.
//! Without I/O.

/// Faults of one delivery, read from the switches when it starts.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Faults {
    /// Number of events after which the connection is reset.
    pub cut_after: Option<u64>,
    /// Adjacent events are swapped pairwise.
    pub reorder: bool,
    /// Each event is sent twice.
    pub double: bool,
    /// Number of an event that is skipped.
    pub drop_chunk: Option<u64>,
}

/// Next action on the connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// Send the event with this number.
    Send(u64),
    /// Wait until more events exist.
    Wait,
    /// Reset the connection.
    Cut,
    /// All events were sent.
    End,
}

/// Position of one connection in a stream of `total` events.
#[derive(Debug)]
pub struct Delivery {
    faults: Faults,
    start: u64,
    total: u64,
    position: u64,
    is_repeated: bool,
    sent: u64,
}

impl Delivery {
    /// Creates a delivery of the events `from..total`.
    #[must_use]
    pub fn new(from: u64, total: u64, faults: Faults) -> Self {
        Self {
            faults,
            start: from,
            total,
            position: from,
            is_repeated: false,
            sent: 0,
        }
    }

    /// Returns the next step, given that the events below `available` exist.
    pub fn next(&mut self, available: u64) -> Step {
        loop {
            if self
                .faults
                .cut_after
                .is_some_and(|limit| self.sent >= limit)
            {
                return Step::Cut;
            }
            if self.position >= self.total {
                return Step::End;
            }
            let no = self.event_at(self.position);
            if no >= available {
                return Step::Wait;
            }
            if self.faults.drop_chunk == Some(no) {
                self.position += 1;
                continue;
            }
            self.sent += 1;
            if self.faults.double && !self.is_repeated {
                self.is_repeated = true;
                return Step::Send(no);
            }
            self.is_repeated = false;
            self.position += 1;
            return Step::Send(no);
        }
    }

    fn event_at(&self, position: u64) -> u64 {
        let swapped = position ^ 1;
        if self.faults.reorder && swapped >= self.start && swapped < self.total {
            return swapped;
        }
        position
    }
}
