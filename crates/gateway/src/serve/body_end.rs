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
use crate::paths::ProbeError;
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
        self.check_end_of(response.framing, &response.server).await
    }

    /// Checks the end of a body that came from `server`.
    pub(super) async fn check_end_of(&self, framing: Framing, server: &SelectedServer) -> BodyEnd {
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
        let end = match probed {
            Ok(()) | Err(ProbeError::PathCut) => return BodyEnd::Complete,
            Err(ProbeError::Unknown) => BodyEnd::Unknown,
            // After its last response.
            Err(_) if self.pool.may_have_ended(server, drain) => BodyEnd::Unknown,
            // A cut would have reset the connection or left it silent, and not closed it.
            Err(ProbeError::Refused | ProbeError::RefusedHere) => BodyEnd::Truncated,
        };
        event!(
            info,
            "response.end_unconfirmed",
            id = self.id(),
            server = server.instance.name,
            refused = probed != Err(ProbeError::Unknown),
            truncated = end == BodyEnd::Truncated,
        );
        end
    }
}
