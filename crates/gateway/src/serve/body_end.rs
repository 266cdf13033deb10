//! Whether a response is complete that only the end of its connection marks as complete.
//!
//! The end of a connection looks the same whether its server completed the response or crashed. After
//! a crash nothing listens on the server's address, so a connection is opened to it, which the next
//! request uses.

use std::time::Duration;

use swiftlink_telemetry::event;

use super::attempt::ServerResponse;
use super::exchange::{DEFAULT_KEEP_ALIVE, Exchange};
use crate::fleet::SelectedServer;
use crate::paths::{PathWatch, ProbeError};
use crate::upstream::{Framing, probe};

/// Maximum time for opening the connection, and again for asking other routers: callers wait for the
/// end of their response meanwhile.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// What is known of a body that has ended without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyEnd {
    /// It is complete: by its framing, or its server runs on.
    Complete,
    /// It may be complete.
    Unknown,
    /// Its server has ended.
    Truncated,
}

impl Exchange {
    /// Checks the end of a response's body.
    pub(super) async fn check_end(&self, response: &ServerResponse) -> BodyEnd {
        let watch = response.watch.as_ref();
        self.check_end_of(response.framing, &response.server, watch)
            .await
    }

    /// Checks the end of a body that came from `server` on the path of `watch`.
    pub(super) async fn check_end_of(
        &self,
        framing: Framing,
        server: &SelectedServer,
        watch: Option<&PathWatch>,
    ) -> BodyEnd {
        if framing != Framing::Close {
            return BodyEnd::Complete;
        }
        let (dialer, drain) = (&self.node.dialer, self.node.settings.drain);
        let probed = probe(
            &server.destination,
            dialer,
            PROBE_TIMEOUT,
            DEFAULT_KEEP_ALIVE,
        )
        .await;
        let is_relayed = watch.is_some_and(|watch| watch.is_relayed);
        let end = match probed {
            Ok(()) => return BodyEnd::Complete,
            // A tunnel tells the end of the server's connection from that of its own.
            Err(ProbeError::PathCut) if is_relayed => return BodyEnd::Complete,
            // What cut the path may have closed the connection.
            Err(ProbeError::PathCut | ProbeError::Unknown) => BodyEnd::Unknown,
            // After its last response.
            Err(_) if self.pool.may_have_ended(server, drain) => BodyEnd::Unknown,
            Err(ProbeError::Refused | ProbeError::RefusedHere) => BodyEnd::Truncated,
        };
        event!(
            info,
            "response.end_unconfirmed",
            id = self.id(),
            server = server.instance.name,
            refused = probed != Err(ProbeError::Unknown),
            cut = probed == Err(ProbeError::PathCut),
            truncated = end == BodyEnd::Truncated,
        );
        end
    }
}
