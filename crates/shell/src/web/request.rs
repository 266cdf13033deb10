//! From xitca's requests to those of a service, and back.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderValue, Method, StatusCode};
use xitca_web::body::RequestBody;
use xitca_web::http::{Request, RequestExt};
use xitca_web::service::Service as XitcaService;
use xitca_web::service::ready::ReadyService;

use super::connection::{CURRENT, Connection};
use super::incoming::{Incoming, Source};
use super::output::Output;
use super::service::{Response, Service};

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
        let head_only = head.method == Method::HEAD;
        // What follows a request to upgrade has no end; it is refused by ignoring it.
        let has_body = !upgrade && !matches!(body, RequestBody::None);
        let source = Source::new(has_body.then_some(body), Rc::clone(&connection));
        let incoming = Incoming::new(head, peer, self.body, source.clone());
        let response = self.service.call(incoming).await;
        Ok(finish(response, source, &connection, head_only, upgrade))
    }
}

impl ReadyService for Requests {
    type Ready = ();

    async fn ready(&self) {}
}

fn finish(
    response: Response,
    rest: Source,
    connection: &Rc<Connection>,
    head_only: bool,
    last: bool,
) -> http::Response<Output> {
    let (mut parts, body) = response.into_parts();
    // How a body is framed on this connection is the dispatcher's decision.
    parts.headers.remove(TRANSFER_ENCODING);
    parts.headers.remove(CONNECTION);
    if last || connection.is_closing() {
        let close = HeaderValue::from_static("close");
        parts.headers.insert(CONNECTION, close);
    }
    let mut output = Output::new(body, rest, Rc::clone(connection));
    if head_only {
        output = output.without_content();
    }
    if matches!(
        parts.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    ) {
        parts.headers.remove(CONTENT_LENGTH);
        output = output.without_length();
    }
    http::Response::from_parts(parts, output)
}
