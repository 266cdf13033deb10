//! Interim responses (1xx), of which a server may send any number before its final one.

use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

use http::Request;

/// Maximum number of interim responses to a request. They are read as fast as they come, and count
/// for no limit of the final response.
const MAX_INTERIM: u32 = 64;

/// Calls `on_excess` once if the server sends too many interim responses to `request`. The
/// connection has to be closed then.
pub(crate) fn limit_interim<B>(
    request: &mut Request<B>,
    on_excess: impl Fn() + Send + Sync + 'static,
) {
    let count = AtomicU32::new(0);
    hyper::ext::on_informational(request, move |_response| {
        if count.fetch_add(1, Relaxed) == MAX_INTERIM {
            on_excess();
        }
    });
}
