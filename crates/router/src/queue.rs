//! The queue of one pool, where requests wait for a slot at one of its backend servers.
//!
//! [`swiftlink_admission::Queue`] makes the decisions; this module adds the clock and wakes
//! the waiting tasks. Each pool has its own lock, held only for short operations in memory.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftlink_admission::{ClassSpec, Entry, Limiter, LimiterPolicy, Queue, QueuePolicy};
use swiftlink_types::{ClassName, Micros, PoolName, Refusal, RefusalKind};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::admit::no_server;

/// Time between checks for entries that can no longer meet their deadline.
const EXPIRY_PERIOD: Duration = Duration::from_millis(20);

type SlotResult = Result<Slot, Refusal>;

struct Inner {
    queue: Queue<oneshot::Sender<SlotResult>>,
    limiter: Limiter,
}

impl Inner {
    /// Whether no backend server takes work, so that no request may wait. The limiter never
    /// lowers the limit to 0 while there is a slot.
    fn is_closed(&self) -> bool {
        self.limiter.limit() == 0
    }

    /// Applies the limiter's limit to the queue.
    fn apply_limit(&mut self) {
        self.queue.set_slots(self.limiter.limit());
    }
}

/// The queue of one pool.
pub struct PoolQueue {
    pool: PoolName,
    inner: Mutex<Inner>,
    start: Instant,
    /// Time of the last check for expired entries, in microseconds since `start`.
    last_check: AtomicU64,
}

impl std::fmt::Debug for PoolQueue {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PoolQueue").finish_non_exhaustive()
    }
}

/// A request that asks for a slot.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Priority class of the request.
    pub class: ClassName,
    /// How the class is queued.
    pub spec: ClassSpec,
    /// Hash that identifies the request when its caller sends it again.
    pub key: u64,
    /// Time left until its deadline.
    pub left: Duration,
}

impl PoolQueue {
    /// Creates an empty queue of `pool` without slots.
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
            last_check: AtomicU64::new(0),
        })
    }

    /// Sets the total number of slots of the backend servers that take work. With none left,
    /// waiting requests are refused at once: waiting longer would end in the same refusal.
    pub fn set_slots(self: &Arc<Self>, slots: usize) {
        let mut inner = self.lock();
        inner.limiter.set_max(slots);
        inner.apply_limit();
        if inner.is_closed() {
            for entry in inner.queue.drain() {
                // The request may have been dropped.
                let _gone = entry.payload.send(Err(no_server(&self.pool, None)));
            }
        }
        let unclaimed = self.pump(&mut inner);
        drop(inner);
        drop(unclaimed);
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// Fails if no server takes work, the queue is full or the deadline can't be met; the
    /// refusal carries the time after which to retry.
    pub async fn acquire(self: &Arc<Self>, arrival: Arrival) -> SlotResult {
        let (sender, mut receiver) = oneshot::channel();
        self.push(arrival, sender)?;
        if let Ok(result) = receiver.try_recv() {
            return result;
        }
        loop {
            tokio::select! {
                result = &mut receiver => {
                    let gone = || Refusal::not_run(RefusalKind::Unavailable, "the queue is gone");
                    return result.unwrap_or_else(|_closed| Err(gone()));
                }
                () = tokio::time::sleep(EXPIRY_PERIOD) => self.expire(),
            }
        }
    }

    /// Returns the number of waiting requests and of slots in use.
    #[must_use]
    pub fn depth(&self) -> (usize, usize) {
        let inner = self.lock();
        (inner.queue.len(), inner.queue.in_flight())
    }

    /// Records the time from dispatch to the first token.
    pub fn on_first_token(&self, time: Duration) {
        let mut inner = self.lock();
        let in_flight = inner.queue.in_flight();
        inner
            .limiter
            .on_first_token(time.as_micros() as Micros, in_flight);
        inner.apply_limit();
    }

    /// Records that a backend server refused work because it is full.
    pub fn on_full(&self) {
        let mut inner = self.lock();
        inner.limiter.on_full();
        inner.apply_limit();
    }

    fn push(
        self: &Arc<Self>,
        arrival: Arrival,
        sender: oneshot::Sender<SlotResult>,
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
        let unclaimed = self.pump(&mut inner);
        drop(inner);
        drop(unclaimed);
        pushed.map(|_ticket| ())
    }

    /// Hands out free slots. Returns slots whose request was dropped meanwhile: dropping a slot
    /// takes the lock, so the caller must release the lock first.
    #[must_use]
    fn pump(self: &Arc<Self>, inner: &mut Inner) -> Vec<SlotResult> {
        let mut unclaimed = Vec::new();
        while let Some((_ticket, entry)) = inner.queue.pop(self.now()) {
            let slot = Slot {
                queue: Some(Arc::clone(self)),
                since: Instant::now(),
                served: false,
            };
            if let Err(back) = entry.payload.send(Ok(slot)) {
                unclaimed.push(back);
                // Dropping it calls `pump` again.
                break;
            }
        }
        unclaimed
    }

    /// Refuses entries that can no longer meet their deadline; one waiter per tick does it for
    /// all.
    fn expire(&self) {
        let now = self.now();
        let before = self.last_check.load(Ordering::Relaxed);
        let is_due = now >= before + EXPIRY_PERIOD.as_micros() as Micros / 2;
        let swapped =
            self.last_check
                .compare_exchange(before, now, Ordering::Relaxed, Ordering::Relaxed);
        if !is_due || swapped.is_err() {
            return;
        }
        let expired = self.lock().queue.take_expired(self.now());
        for entry in expired {
            // The request may have been dropped.
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
        let unclaimed = self.pump(&mut inner);
        drop(inner);
        drop(unclaimed);
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Permit to run one request at a backend server; released on drop.
#[derive(Debug)]
pub struct Slot {
    queue: Option<Arc<PoolQueue>>,
    since: Instant,
    served: bool,
}

impl Slot {
    /// Marks the request as served to its end, so that its duration counts as a service time.
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
