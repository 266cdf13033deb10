//! The order in which one connection gets a stream's events, faults included.
//! No I/O.

/// Faults of one delivery, taken from the switches when it starts.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Faults {
    /// The connection breaks after so many events.
    pub cut_after: Option<u64>,
    /// Events come in swapped pairs.
    pub reorder: bool,
    /// Each event comes twice.
    pub double: bool,
    /// The event with this number is left out.
    pub drop_chunk: Option<u64>,
}

/// What to do next on the connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// Send the event with this number.
    Send(u64),
    /// Wait until more of the stream has run.
    Wait,
    /// Break the connection.
    Cut,
    /// All is sent.
    End,
}

/// One connection's place in a stream of `total` events.
#[derive(Debug)]
pub struct Delivery {
    faults: Faults,
    start: u64,
    total: u64,
    place: u64,
    copied: bool,
    sent: u64,
}

impl Delivery {
    /// A delivery of the events `from..total`.
    #[must_use]
    pub fn new(from: u64, total: u64, faults: Faults) -> Self {
        Self {
            faults,
            start: from,
            total,
            place: from,
            copied: false,
            sent: 0,
        }
    }

    /// The next step when the events below `available` exist.
    pub fn next(&mut self, available: u64) -> Step {
        loop {
            if self
                .faults
                .cut_after
                .is_some_and(|limit| self.sent >= limit)
            {
                return Step::Cut;
            }
            if self.place >= self.total {
                return Step::End;
            }
            let no = self.event_at(self.place);
            if no >= available {
                return Step::Wait;
            }
            if self.faults.drop_chunk == Some(no) {
                self.place += 1;
                continue;
            }
            self.sent += 1;
            if self.faults.double && !self.copied {
                self.copied = true;
                return Step::Send(no);
            }
            self.copied = false;
            self.place += 1;
            return Step::Send(no);
        }
    }

    fn event_at(&self, place: u64) -> u64 {
        let swapped = place ^ 1;
        if self.faults.reorder && swapped >= self.start && swapped < self.total {
            return swapped;
        }
        place
    }
}
