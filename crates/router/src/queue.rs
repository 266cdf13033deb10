//! The queue of one pool: requests wait for a slot in front of its backend servers.
//!
//! The decisions are [`swiftlink_admission::Queue`]'s; this is its clock and its
//! wake-ups. The lock belongs to one pool and is held for a few steps in memory.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftlink_admission::{ClassSpec, Entry, Limiter, LimiterPolicy, Queue, QueuePolicy};
use swiftlink_types::{ClassName, Micros, PoolName, Refusal, RefusalKind};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::admit::no_server;

/// Time between looks for entries that can't be served in time any more.
const EXPIRY_TICK: Duration = Duration::from_millis(20);

type Turn = Result<Slot, Refusal>;

struct Inner {
    queue: Queue<oneshot::Sender<Turn>>,
    limiter: Limiter,
}

impl Inner {
    /// No backend server takes work: nothing may wait. With any slot at all the
    /// limiter leaves one.
    fn is_closed(&self) -> bool {
        self.limiter.limit() == 0
    }

    /// Gives the queue as many slots as the limiter leaves.
    fn limit(&mut self) {
        self.queue.set_slots(self.limiter.limit());
    }
}

/// The queue of one pool.
pub struct PoolQueue {
    pool: PoolName,
    inner: Mutex<Inner>,
    start: Instant,
    /// When entries that are late were last looked for.
    checked: AtomicU64,
}

impl std::fmt::Debug for PoolQueue {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PoolQueue").finish_non_exhaustive()
    }
}

/// What a request shows to the queue.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its priority class.
    pub class: ClassName,
    /// How the class is queued.
    pub spec: ClassSpec,
    /// Hash that knows it again when it comes back.
    pub key: u64,
    /// Time left until its deadline.
    pub left: Duration,
}

impl PoolQueue {
    /// An empty queue of `pool` without slots.
    #[must_use]
    pub fn new(pool: PoolName) -> Arc<Self> {
        let policy = LimiterPolicy {
            max: 0,
            ..LimiterPolicy::default()
        };
        let inner = Inner {
            queue: Queue::new(QueuePolicy::default(), 0),
            limiter: Limiter::new(policy),
        };
        Arc::new(Self {
            pool,
            inner: Mutex::new(inner),
            start: Instant::now(),
            checked: AtomicU64::new(0),
        })
    }

    /// Sets the slots of all backend servers that take work. With none left, those
    /// who wait are refused at once: held until their deadline they would only wait
    /// for the same answer.
    pub fn set_slots(self: &Arc<Self>, slots: usize) {
        let mut inner = self.lock();
        inner.limiter.set_max(slots);
        inner.limit();
        if inner.is_closed() {
            for entry in inner.queue.drain() {
                // The request may have gone.
                let _gone = entry.payload.send(Err(no_server(&self.pool, None)));
            }
        }
        let spare = self.pump(&mut inner);
        drop(inner);
        drop(spare);
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// When no server takes work, the queue has no room or the deadline can't be met;
    /// with the time to come back.
    pub async fn acquire(self: &Arc<Self>, arrival: Arrival) -> Turn {
        let (sender, mut receiver) = oneshot::channel();
        self.push(arrival, sender)?;
        if let Ok(turn) = receiver.try_recv() {
            return turn;
        }
        loop {
            tokio::select! {
                turn = &mut receiver => {
                    let gone = || Refusal::not_run(RefusalKind::Unavailable, "the queue is gone");
                    return turn.unwrap_or_else(|_closed| Err(gone()));
                }
                () = tokio::time::sleep(EXPIRY_TICK) => self.expire(),
            }
        }
    }

    /// Requests that wait, and slots in use.
    #[must_use]
    pub fn depth(&self) -> (usize, usize) {
        let inner = self.lock();
        (inner.queue.len(), inner.queue.in_flight())
    }

    /// Notes the time from dispatch to the first token.
    pub fn on_first_token(&self, time: Duration) {
        let mut inner = self.lock();
        let in_flight = inner.queue.in_flight();
        inner
            .limiter
            .on_first_token(time.as_micros() as Micros, in_flight);
        inner.limit();
    }

    /// Notes that a backend server refused work because it is full.
    pub fn on_full(&self) {
        let mut inner = self.lock();
        inner.limiter.on_full();
        inner.limit();
    }

    fn push(
        self: &Arc<Self>,
        arrival: Arrival,
        sender: oneshot::Sender<Turn>,
    ) -> Result<(), Refusal> {
        let now = self.now();
        let mut inner = self.lock();
        if inner.is_closed() {
            return Err(no_server(&self.pool, None));
        }
        inner.queue.set_class(&arrival.class, arrival.spec);
        let entry = Entry {
            class: arrival.class,
            key: arrival.key,
            deadline: now + arrival.left.as_micros() as Micros,
            service_time: None,
            payload: sender,
        };
        let pushed = inner.queue.push(entry, now);
        let spare = self.pump(&mut inner);
        drop(inner);
        drop(spare);
        pushed.map(|_ticket| ())
    }

    /// Hands out free slots; the answer are those whose request has gone, to be
    /// dropped once the lock is released.
    #[must_use]
    fn pump(self: &Arc<Self>, inner: &mut Inner) -> Vec<Turn> {
        let mut spare = Vec::new();
        while let Some((_ticket, entry)) = inner.queue.pop(self.now()) {
            let slot = Slot {
                queue: Some(Arc::clone(self)),
                since: Instant::now(),
                served: false,
            };
            if let Err(back) = entry.payload.send(Ok(slot)) {
                spare.push(back);
                // Its drop pumps again.
                break;
            }
        }
        spare
    }

    /// Ends entries that can't be served in time; one waiter in a tick does it for all.
    fn expire(&self) {
        let now = self.now();
        let before = self.checked.load(Ordering::Relaxed);
        let is_due = now >= before + EXPIRY_TICK.as_micros() as Micros / 2;
        let swapped =
            self.checked
                .compare_exchange(before, now, Ordering::Relaxed, Ordering::Relaxed);
        if !is_due || swapped.is_err() {
            return;
        }
        let given_up = self.lock().queue.take_expired(self.now());
        for entry in given_up {
            // The request may have gone.
            let _gone = entry.entry.payload.send(Err(entry.refusal));
        }
    }

    fn release(self: &Arc<Self>, served: Option<Duration>) {
        let mut inner = self.lock();
        match served {
            Some(time) => {
                let now = self.now();
                inner.queue.on_done(now, time.as_micros() as Micros);
            }
            None => inner.queue.on_abandoned(),
        }
        let spare = self.pump(&mut inner);
        drop(inner);
        drop(spare);
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The right to keep one request at a backend server; free again when dropped.
#[derive(Debug)]
pub struct Slot {
    queue: Option<Arc<PoolQueue>>,
    since: Instant,
    served: bool,
}

impl Slot {
    /// The request was served to its end, so its time tells of the service.
    pub fn served(&mut self) {
        self.served = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(queue) = self.queue.take() else {
            return;
        };
        let served = self.served.then(|| self.since.elapsed());
        queue.release(served);
    }
}
