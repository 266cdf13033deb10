//! From xitca's requests to those of a service, and back.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::response::Parts;
use http::{HeaderValue, Method, StatusCode};
use xitca_web::body::RequestBody;
use xitca_web::http::{Request, RequestExt};
use xitca_web::service::Service as XitcaService;
use xitca_web::service::ready::ReadyService;

use super::connection::CURRENT;
use super::incoming::{Incoming, Source};
use super::output::Output;
use super::service::Service;

/// Makes [`Requests`] for each worker.
pub(super) struct Factory {
    pub(super) service: Arc<dyn Service>,
    pub(super) body: Duration,
}

impl XitcaService for Factory {
    type Response = Requests;
    type Error = Infallible;

    async fn call(&self, (): ()) -> Result<Requests, Infallible> {
        Ok(Requests {
            service: Arc::clone(&self.service),
            body: self.body,
        })
    }
}

/// Serves requests.
pub(super) struct Requests {
    service: Arc<dyn Service>,
    body: Duration,
}

impl XitcaService<Request<RequestExt<RequestBody>>> for Requests {
    type Response = http::Response<Output>;
    type Error = Infallible;

    async fn call(
        &self,
        request: Request<RequestExt<RequestBody>>,
    ) -> Result<Self::Response, Infallible> {
        let connection = CURRENT.with(Rc::clone);
        connection.begin();
        let (head, ext) = request.into_parts();
        let peer = *ext.socket_addr();
        let (_ext, body) = ext.replace_body(());
        let upgrade = head.headers.contains_key(UPGRADE);
        let expect = head.headers.contains_key(EXPECT);
        let head_only = head.method == Method::HEAD;
        // What follows a request to upgrade has no end; it is refused by ignoring it.
        let has_body = !upgrade && !matches!(body, RequestBody::None);
        let source = Source::new(has_body.then_some(body), Rc::clone(&connection));
        let incoming = Incoming::new(head, peer, self.body, source.clone());
        let response = self.service.call(incoming).await;

        let (mut parts, body) = response.into_parts();
        let mut output = Output::new(body, Rc::clone(&connection));
        let mut last = upgrade || connection.is_closing();
        if !source.is_done() {
            // Reading would tell a client that waits for leave to send the body.
            last |= expect || !output.drain(source, self.body);
        }
        frame(&mut parts, &mut output, head_only, last);
        Ok(http::Response::from_parts(parts, output))
    }
}

impl ReadyService for Requests {
    type Ready = ();

    async fn ready(&self) {}
}

/// Makes headers and content fit each other; how a body is framed on this connection is
/// not the service's decision.
fn frame(parts: &mut Parts, output: &mut Output, head_only: bool, last: bool) {
    parts.headers.remove(TRANSFER_ENCODING);
    parts.headers.remove(CONNECTION);
    if last {
        let close = HeaderValue::from_static("close");
        parts.headers.insert(CONNECTION, close);
    }
    if head_only {
        output.leave_content();
    }
    if matches!(
        parts.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    ) {
        parts.headers.remove(CONTENT_LENGTH);
        output.leave_length();
    }
}
