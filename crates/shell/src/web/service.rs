//! The trait that a server calls for each request.

use async_trait::async_trait;

use super::{Body, Incoming};

/// Response of a service.
pub type Response = http::Response<Body>;

/// Handler of requests.
#[async_trait(?Send)]
pub trait Service: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the client disconnects.
    async fn call(&self, request: Incoming) -> Response;
}

/// Creates a service from an async function.
pub fn service<F, Fut>(call: F) -> impl Service
where
    F: Fn(Incoming) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response> + 'static,
{
    Function(call)
}

struct Function<F>(F);

#[async_trait(?Send)]
impl<F, Fut> Service for Function<F>
where
    F: Fn(Incoming) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response> + 'static,
{
    async fn call(&self, request: Incoming) -> Response {
        (self.0)(request).await
    }
}
