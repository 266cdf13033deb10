//! Client of the operator daemon: applies changes and reads budgets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::caller::set;
use crate::http::{Http, Reply, request};
use crate::until::until;

/// Builds the change of one resource for the operator API.
#[must_use]
pub fn change(kind: &str, name: &str, spec: Value) -> Value {
    json!({ "kind": kind, "name": name, "base": null, "delete": false, "spec": spec })
}

/// Whether the operator daemon reports that nothing was applied and the set can be retried.
fn is_not_applied(reply: &Reply) -> bool {
    reply.status == StatusCode::SERVICE_UNAVAILABLE && reply.json()["applied"] == "no"
}

/// A client of the operator daemon.
#[derive(Clone, Debug)]
pub struct Operator {
    address: SocketAddr,
    token: String,
    http: Http,
}

impl Operator {
    /// Creates a client with the operators' bearer token.
    #[must_use]
    pub fn new(address: SocketAddr, token: &str) -> Self {
        Self {
            address,
            token: token.to_owned(),
            http: Http::new(),
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn call(&self, method: Method, path: &str, body: &Value) -> anyhow::Result<Reply> {
        let body = Bytes::from(body.to_string());
        let mut request = request(method, self.address, path, body);
        set(
            &mut request,
            "authorization",
            &format!("Bearer {}", self.token),
        );
        self.http.call(request).await
    }

    /// Applies the changes as one set and returns the version. Retries while the response
    /// says that nothing was applied.
    ///
    /// # Errors
    /// When the set is not accepted.
    pub async fn apply(&self, changes: Vec<Value>) -> anyhow::Result<u64> {
        let reply = until("an operator that accepts changes", async || {
            let reply = self.try_apply(changes.clone()).await;
            let again = reply.as_ref().is_ok_and(is_not_applied);
            (!again).then_some(reply)
        });
        let reply = reply.await??;
        let answer = reply.json();
        anyhow::ensure!(
            reply.status.is_success(),
            "apply: {} {answer}",
            reply.status
        );
        Ok(answer["version"].as_u64().unwrap_or(0))
    }

    /// Applies the changes as one set, without retries, and returns the response.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn try_apply(&self, changes: Vec<Value>) -> anyhow::Result<Reply> {
        let body = json!({ "author": "test", "changes": changes });
        self.call(Method::POST, "/v1/apply", &body).await
    }

    /// Adds an amount to a budget.
    ///
    /// # Errors
    /// When the set is not accepted.
    pub async fn top_up(&self, budget: &str, id: &str, amount: u64) -> anyhow::Result<u64> {
        let spec = json!({ "budget": budget, "amount": amount });
        self.apply(vec![change("topup", id, spec)]).await
    }

    /// Reads the budget as folded by the ledgers.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn budget(&self, name: &str) -> anyhow::Result<Value> {
        let path = format!("/v1/budgets/{name}");
        let reply = self.call(Method::GET, &path, &Value::Null).await?;
        Ok(reply.json())
    }

    /// Waits until the budget satisfies `holds`.
    ///
    /// # Errors
    /// When the time is up.
    pub async fn budget_until(
        &self,
        name: &str,
        holds: impl Fn(&Value) -> bool,
    ) -> anyhow::Result<Value> {
        let what = format!("a state of the budget {name}");
        let found = until(&what, async || {
            let budget = tokio::time::timeout(Duration::from_secs(5), self.budget(name)).await;
            budget.ok()?.ok().filter(|budget| holds(budget))
        });
        match found.await {
            Ok(budget) => Ok(budget),
            Err(error) => Err(error.context(format!("{:?}", self.budget(name).await))),
        }
    }
}
