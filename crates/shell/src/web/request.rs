//! Conversion between xitca's requests and responses and those of a service.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::response::Parts;
use http::{HeaderValue, Method, StatusCode, Version};
use xitca_web::body::RequestBody;
use xitca_web::http::{Request, RequestExt};
use xitca_web::service::Service as XitcaService;
use xitca_web::service::ready::ReadyService;

use super::connection::CURRENT;
use super::incoming::{BodyReader, Incoming};
use super::meter::head_bytes;
use super::output::ResponseBody;
use super::respond::problem;
use super::service::{Response, Service};

/// Maximum length in bytes of a stream for a client that can't decode chunks.
const MAX_COLLECTED_BYTES: usize = 1024 * 1024;

/// Creates one [`RequestHandler`] per worker.
pub(super) struct Factory {
    pub(super) service: Arc<dyn Service>,
    pub(super) body_timeout: Duration,
}

impl XitcaService for Factory {
    type Response = RequestHandler;
    type Error = Infallible;

    async fn call(&self, (): ()) -> Result<RequestHandler, Infallible> {
        Ok(RequestHandler {
            service: Arc::clone(&self.service),
            body_timeout: self.body_timeout,
        })
    }
}

/// Calls the service for each request of a worker.
pub(super) struct RequestHandler {
    service: Arc<dyn Service>,
    body_timeout: Duration,
}

impl XitcaService<Request<RequestExt<RequestBody>>> for RequestHandler {
    type Response = http::Response<ResponseBody>;
    type Error = Infallible;

    async fn call(
        &self,
        request: Request<RequestExt<RequestBody>>,
    ) -> Result<Self::Response, Infallible> {
        let connection = CURRENT.with(Rc::clone);
        connection.begin();
        let (head, ext) = request.into_parts();
        connection.meter.on_received(head_bytes(&head.headers));
        let peer = *ext.socket_addr();
        let (_ext, body) = ext.replace_body(());
        let upgrade = head.headers.contains_key(UPGRADE);
        let expect = head.headers.contains_key(EXPECT);
        let is_http10 = head.version == Version::HTTP_10;
        let head_only = head.method == Method::HEAD;
        // The data after an upgrade request has no end. Ignoring it refuses the upgrade.
        let has_body = !upgrade && !matches!(body, RequestBody::None);
        let source = BodyReader::new(has_body.then_some(body), Rc::clone(&connection));
        let incoming = Incoming::new(head, peer, self.body_timeout, source.clone());
        let mut response = self.service.call(incoming).await;
        if is_http10 {
            response = without_chunks(response).await;
        }

        let (mut parts, body) = response.into_parts();
        let mut output = ResponseBody::new(body, Rc::clone(&connection));
        let mut last = upgrade || connection.is_closing();
        if !source.is_done() {
            // A client that sends its body too slowly may never send the rest. Reading would send
            // `100 Continue` to a client that waits for it.
            last |= parts.status == StatusCode::REQUEST_TIMEOUT;
            // The place of a client that is behind is for others.
            let is_evicted = connection.registration.is_evicted();
            last |= expect || is_evicted || !output.drain(source, self.body_timeout);
        }
        set_framing(&mut parts, &mut output, head_only, last);
        connection.meter.on_sent(head_bytes(&parts.headers));
        Ok(http::Response::from_parts(parts, output))
    }
}

impl ReadyService for RequestHandler {
    type Ready = ();

    async fn ready(&self) {}
}

/// The response for a client that can't decode chunks (RFC 9112, section 7.1): it would take the end
/// of the connection for the end of a stream that broke off.
async fn without_chunks(response: Response) -> Response {
    let (parts, body) = response.into_parts();
    match body.collect(MAX_COLLECTED_BYTES).await {
        Ok(body) => Response::from_parts(parts, body),
        Err(error) => problem(StatusCode::BAD_GATEWAY, &error.to_string()),
    }
}

/// Makes headers and content consistent. The connection decides how a body is framed, so
/// the service's own framing headers are removed.
fn set_framing(parts: &mut Parts, output: &mut ResponseBody, head_only: bool, last: bool) {
    parts.headers.remove(TRANSFER_ENCODING);
    parts.headers.remove(CONNECTION);
    if last {
        let close = HeaderValue::from_static("close");
        parts.headers.insert(CONNECTION, close);
    }
    if head_only {
        output.drop_content();
    }
    if matches!(
        parts.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    ) {
        parts.headers.remove(CONTENT_LENGTH);
        output.drop_length();
    }
}
