//! Reserving rights with the routers that hold them.
//!
//! A request that finds no rights here asks the holders of its workspace's account, one after
//! the other, each once: a holder lets it wait for a short time and then grants or refuses.
//! What it grants counts as reserved there until this router releases it. Releases are sent
//! until the holder has them, so the one that follows a lost answer undoes what the answer
//! would have told. A reservation carries no body and no prompt, so it may cross regions.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use swiftlink_link::LinkError;
use swiftlink_telemetry::event;
use swiftlink_types::{Tokens, VmName};
use swiftlink_wire::link::{Ended, Refusal, Release, Reserve, Reserved, reply, request};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::book::{Book, NoRights};
use super::books::Books;
use super::spend::{Source, Spend};
use crate::dialect::Usage;

/// Most answers that one request gets from holders: those that an account is placed on, and
/// one more.
const ANSWERS: usize = 4;
/// Most holders that one request waits for in vain: each costs it the time of a refusal.
const SILENT: usize = 2;
/// Time that a router that holds a part of the account itself gives its own claim before it
/// asks others: a claim takes 10 ms while the store answers.
const CLAIM_TIME: Duration = Duration::from_millis(25);
/// Time for the way to a holder and back, beside what the request may wait there. The network
/// takes 1 ms; a processor that has used up its share of a tenth of a second answers after up
/// to that.
const WAY_TIME: Duration = Duration::from_millis(60);
/// Longest silence of a holder that was told of releases, before its link is opened anew.
const SILENCE: Duration = Duration::from_secs(1);
/// Pause between releases to the same holder: what comes together goes in one message.
const RELEASE_PAUSE: Duration = Duration::from_millis(200);
/// Releases that are kept for a holder that is out of reach: some minutes of a busy router's
/// requests. Beyond that the oldest are dropped; the holder counts them as spent.
const KEPT: usize = 10_000;

/// Calls to other routers.
#[async_trait]
pub trait Calls: fmt::Debug + Send + Sync {
    /// Calls the router on `vm` if there is a connection to it; opens one else.
    ///
    /// # Errors
    /// [`LinkError::Down`] when there is none: nothing was sent.
    async fn call(
        &self,
        vm: &VmName,
        kind: request::Kind,
        time: Duration,
    ) -> Result<reply::Kind, LinkError>;
}

/// How long a request may take.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// How long it may wait for rights.
    pub wait: Duration,
    /// The longest time until it has ended; a holder keeps its tokens for that long.
    pub time: Duration,
}

/// Rights of this router's requests, wherever they are held.
#[derive(Debug)]
pub struct Remote {
    books: Arc<Books>,
    calls: Arc<dyn Calls>,
    process: u64,
    next: AtomicU64,
    ended: Mutex<HashMap<VmName, Vec<Ended>>>,
    wanted: Notify,
}

/// Why a request gets no rights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Missing {
    /// What the request is refused for.
    pub refusal: NoRights,
    /// The routers that were asked and what they said, for logs.
    pub asked: String,
    /// The time after which one of them grants it if the store stays away, as far as they know.
    pub back: Option<Duration>,
}

/// What the routers said that were asked.
#[derive(Debug, Default)]
struct Asked {
    said: Vec<String>,
    back: Option<Duration>,
}

impl Asked {
    fn note(&mut self, vm: &VmName, answer: &Answer) {
        self.said.push(format!("{vm}: {answer}"));
        if let Answer::Refused(_, Some(back)) = answer {
            self.note_back(*back);
        }
    }

    fn note_back(&mut self, back: Duration) {
        self.back = Some(self.back.map_or(back, |known| known.min(back)));
    }
}

/// What a holder said.
enum Answer {
    Granted(Spend),
    /// The time is that after which it grants it, if it knows.
    Refused(NoRights, Option<Duration>),
    /// Nothing in time; it may have granted it.
    Silent,
    /// There is no connection to it.
    Down,
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Granted(_) => "granted",
            Self::Refused(NoRights::Spent { .. }, _) => "spent",
            Self::Refused(NoRights::Elsewhere, Some(_)) => "locked",
            Self::Refused(NoRights::Elsewhere, None) => "elsewhere",
            Self::Refused(NoRights::Away, _) => "store away",
            Self::Silent => "no answer",
            Self::Down => "no connection",
        })
    }
}

/// Why no holder granted a reservation.
enum Refused {
    /// The last one said so, and all were reached.
    By(NoRights),
    /// One that may hold the rights wasn't reached.
    Unreached,
}

impl Remote {
    /// Reserves by `calls` for requests of `process` that its `books` don't cover.
    #[must_use]
    pub fn new(books: Arc<Books>, calls: Arc<dyn Calls>, process: u64) -> Arc<Self> {
        Arc::new(Self {
            books,
            calls,
            process,
            next: AtomicU64::new(1),
            ended: Mutex::default(),
            wanted: Notify::new(),
        })
    }

    /// Reserves the most that `usage` can cost, here or with another router.
    ///
    /// # Errors
    /// When nobody in reach grants it.
    pub async fn reserve(
        self: &Arc<Self>,
        book: &Arc<Book>,
        usage: Usage,
        patience: Patience,
    ) -> Result<Spend, Missing> {
        if let Some(spend) = book.try_reserve(usage) {
            return Ok(spend);
        }
        let mut asked = Asked::default();
        let placement = self.books.placement();
        let reserved = if placement.is_placed(&book.workspace) {
            self.reserve_both(book, usage, patience, &mut asked).await
        } else {
            let order = self.holders(book);
            match self.ask_all(order, book, usage, patience, &mut asked).await {
                // The holder with the rights may be gone, and the store may be in reach.
                Err(Refused::Unreached) => book.claim(usage, patience.wait).await,
                Err(Refused::By(refusal)) => Err(refusal),
                Ok(spend) => Ok(spend),
            }
        };
        reserved.map_err(|refusal| {
            if let Some(back) = book.opens_in(usage.max_total()) {
                asked.note_back(back);
            }
            Missing {
                refusal,
                asked: asked.said.join(", "),
                back: asked.back,
            }
        })
    }

    /// Waits for this router's own rights, and asks others when they don't come at once.
    async fn reserve_both(
        self: &Arc<Self>,
        book: &Arc<Book>,
        usage: Usage,
        patience: Patience,
        asked: &mut Asked,
    ) -> Result<Spend, NoRights> {
        let here = book.reserve(usage, patience.wait);
        let there = async {
            if !book.is_withdrawn() {
                sleep(CLAIM_TIME).await;
            }
            let order = self.most_first(book);
            self.ask_all(order, book, usage, patience, asked).await
        };
        tokio::pin!(here, there);
        tokio::select! {
            biased;
            result = &mut here => match result {
                Ok(spend) => Ok(spend),
                Err(spent @ NoRights::Spent { .. }) => Err(spent),
                Err(refusal) => match there.await {
                    Ok(spend) => Ok(spend),
                    Err(Refused::Unreached) if book.is_withdrawn() => {
                        book.claim(usage, patience.wait).await
                    }
                    Err(_) => Err(refusal),
                }
            },
            result = &mut there => match result {
                Ok(spend) => Ok(spend),
                Err(_) => here.await,
            },
        }
    }

    /// Asks holders in this order until one grants it; `asked` takes who they were and what
    /// they said.
    async fn ask_all(
        self: &Arc<Self>,
        order: Vec<VmName>,
        book: &Arc<Book>,
        usage: Usage,
        patience: Patience,
        asked: &mut Asked,
    ) -> Result<Spend, Refused> {
        let mut refused = None;
        let mut unreached = false;
        let (mut answers, mut silent) = (0, 0);
        // All together let it wait no longer than one might.
        let mut wait = patience.wait / 2;
        for vm in order {
            let answer = self.ask(&vm, book, usage, patience.time, wait).await;
            asked.note(&vm, &answer);
            match answer {
                Answer::Granted(spend) => return Ok(spend),
                Answer::Refused(spent @ NoRights::Spent { .. }, _) => {
                    return Err(Refused::By(spent));
                }
                Answer::Refused(refusal, _) => {
                    refused = Some(refusal);
                    answers += 1;
                    wait /= 2;
                }
                Answer::Silent => {
                    unreached = true;
                    silent += 1;
                }
                Answer::Down => unreached = true,
            }
            if answers == ANSWERS || silent == SILENT {
                break;
            }
        }
        match refused {
            Some(refusal) if !unreached => Err(Refused::By(refusal)),
            _ => Err(Refused::Unreached),
        }
    }

    /// Those that the account is placed on, and others that may stand in for them.
    fn holders(&self, book: &Book) -> Vec<VmName> {
        let turn = self.next.load(Relaxed);
        self.books.placement().ask(&book.workspace, turn)
    }

    /// The same for a router that reads the account: those that hold most first.
    fn most_first(&self, book: &Book) -> Vec<VmName> {
        let mut order = Vec::clone(&book.holders());
        for vm in self.holders(book) {
            if !order.contains(&vm) {
                order.push(vm);
            }
        }
        order
    }

    async fn ask(
        self: &Arc<Self>,
        vm: &VmName,
        book: &Arc<Book>,
        usage: Usage,
        time: Duration,
        wait: Duration,
    ) -> Answer {
        let tokens = usage.max_total();
        let mut reservation = Reservation {
            remote: Arc::clone(self),
            vm: vm.clone(),
            number: self.next.fetch_add(1, Relaxed),
            open: true,
        };
        let ask = Reserve {
            process: self.process,
            number: reservation.number,
            workspace: book.workspace.to_string(),
            tokens,
            wait_ms: millis(wait),
            time_ms: millis(time),
        };
        let kind = request::Kind::Reserve(ask);
        // Given up early, the link isn't taken as silent: the release that follows tells.
        let call = self.calls.call(vm, kind, SILENCE.max(wait + WAY_TIME));
        match timeout(wait + WAY_TIME, call).await {
            Ok(Ok(reply::Kind::Reserved(reserved))) => match refusal(&reserved, book.prepaid()) {
                None => Answer::Granted(Spend::new(Source::There(reservation), usage, tokens)),
                Some(refusal) => {
                    reservation.forget();
                    let back = reserved.back_ms.map(|ms| Duration::from_millis(ms.into()));
                    Answer::Refused(refusal, back)
                }
            },
            Ok(Ok(_)) => {
                event!(warn, "rights.wrong_reply", peer = vm);
                Answer::Silent
            }
            Ok(Err(LinkError::Down)) => {
                reservation.forget();
                Answer::Down
            }
            // The release that follows undoes what may have been granted.
            Ok(Err(_)) | Err(_) => Answer::Silent,
        }
    }

    /// Tells holders of requests that have ended, until the task is aborted.
    pub async fn run(self: Arc<Self>) {
        let mut calls = JoinSet::new();
        loop {
            tokio::select! {
                () = self.wanted.notified() => {}
                // Those that failed are sent again.
                Some(_) = calls.join_next() => {}
            }
            sleep(RELEASE_PAUSE).await;
            let ended = std::mem::take(&mut *self.lock());
            for (vm, ended) in ended {
                calls.spawn(Arc::clone(&self).release(vm, ended));
            }
        }
    }

    /// Tells holders at once of all requests that have ended, each within `time`.
    pub async fn flush(self: &Arc<Self>, time: Duration) {
        let ended = std::mem::take(&mut *self.lock());
        let mut calls = JoinSet::new();
        for (vm, ended) in ended {
            let remote = Arc::clone(self);
            calls.spawn(async move { remote.tell(&vm, ended, time).await });
        }
        while calls.join_next().await.is_some() {}
    }

    /// Tells a holder, and keeps what it didn't hear for the next time.
    async fn release(self: Arc<Self>, vm: VmName, ended: Vec<Ended>) {
        if self.tell(&vm, ended.clone(), SILENCE).await {
            return;
        }
        sleep(SILENCE).await;
        let mut waiting = self.lock();
        let kept = waiting.entry(vm.clone()).or_default();
        kept.splice(..0, ended);
        let excess = kept.len().saturating_sub(KEPT);
        kept.drain(..excess);
        if excess > 0 {
            event!(warn, "rights.release_dropped", peer = vm, count = excess);
        }
    }

    /// Tells a holder of requests that have ended; says whether it has heard.
    async fn tell(&self, vm: &VmName, ended: Vec<Ended>, time: Duration) -> bool {
        let count = ended.len();
        let kind = request::Kind::Release(Release {
            process: self.process,
            ended,
        });
        let error = match self.calls.call(vm, kind, time).await {
            Ok(reply::Kind::Released(_)) => return true,
            Ok(_) => "wrong reply".to_owned(),
            Err(error) => error.to_string(),
        };
        event!(
            debug,
            "rights.not_released",
            peer = vm,
            count = count,
            reason = error,
        );
        false
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<VmName, Vec<Ended>>> {
        // The map is whole between any two calls.
        self.ended.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why the holder didn't grant it; `None` when it did. One that doesn't know of all that was
/// `prepaid` can't say that it is spent.
fn refusal(reserved: &Reserved, prepaid: Tokens) -> Option<NoRights> {
    match reserved.refusal() {
        Refusal::Unspecified => None,
        Refusal::Spent if reserved.prepaid < prepaid => Some(NoRights::Elsewhere),
        Refusal::Spent => Some(NoRights::Spent {
            rest: reserved.rest,
        }),
        Refusal::Elsewhere => Some(NoRights::Elsewhere),
        Refusal::Away => Some(NoRights::Away),
    }
}

pub(super) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Tokens that another router may have set aside for a request. When it ends, or is dropped
/// before the answer is known, the other router is told.
#[derive(Debug)]
pub(super) struct Reservation {
    remote: Arc<Remote>,
    vm: VmName,
    number: u64,
    open: bool,
}

impl Reservation {
    /// The request has ended and has spent so many tokens.
    pub(super) fn end(&mut self, spent: Tokens) {
        if !std::mem::take(&mut self.open) {
            return;
        }
        let ended = Ended {
            number: self.number,
            spent,
        };
        let mut waiting = self.remote.lock();
        waiting.entry(self.vm.clone()).or_default().push(ended);
        drop(waiting);
        self.remote.wanted.notify_one();
    }

    /// Nothing was set aside.
    fn forget(&mut self) {
        self.open = false;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.end(0);
    }
}
