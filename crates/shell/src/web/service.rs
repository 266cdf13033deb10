//! What a server calls for each request.

use async_trait::async_trait;

use super::{Body, Incoming};

/// Response of a service.
pub type Response = http::Response<Body>;

/// Answers requests.
#[async_trait(?Send)]
pub trait Service: Send + Sync + 'static {
    /// Answers one request. Dropped in mid-way when the client goes away.
    async fn call(&self, request: Incoming) -> Response;
}

/// A service made of an async function.
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
