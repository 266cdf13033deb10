//! Limits on the rate of requests that backend servers name in their responses.
//!
//! A limit of `r` requests a second is for all routers together, so the routers agree on who may
//! send. Each limited server has an *allocator*: the router that comes first in an order by the hash
//! of the server and the router. It issues *permits*, at most `r` a second, to the routers that ask.
//! A permit is for one request and lapses a moment after it was asked for, so a router that freezes,
//! is cut off or ends with permits in hand can't use them later. A router without a permit sends its
//! requests to other servers. If there is none, a request waits for one answer of an allocator at
//! most, and is refused at once where none can come.
//!
//! If the allocator can't be reached, the next router in the order issues permits at a lower rate,
//! so that both together stay within the bound that the platform sets: in any 4 s at most `6 r + 5`
//! requests.
//!
//! - `throttle` is what a router knows of one server's limit, and the permits in its hand.
//! - `allocator` decides how many permits a router gets.
//! - `coordinator` answers the requests of other routers with it.
//! - `requester` asks for permits, at the pace that `pace` sets.
//! - `registry` has the limited servers.
//!
//! An allocator keeps nothing over a restart: a new one starts with no permit in stock. It answers
//! one request per server and router at intervals that grow with the number of routers, so its work
//! grows with the limits and not with the number of routers.

mod allocator;
mod coordinator;
mod pace;
mod registry;
mod requester;
mod throttle;

pub use allocator::{Allocation, Allocator, Observation, Query, Role};
pub(crate) use coordinator::{Allocators, Coordinator};
pub use pace::Pace;
pub use registry::{LimitedServer, LimitedServers};
pub(crate) use requester::Requester;
pub use throttle::{LimitChange, Throttle};
