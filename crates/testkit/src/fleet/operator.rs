//! The operators' side of a test: changes, and what the log says of budgets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::caller::set;
use crate::http::{Http, Reply, request};
use crate::until::until;

/// A change of one resource, as the operator interface takes it.
#[must_use]
pub fn change(kind: &str, name: &str, spec: Value) -> Value {
    json!({ "kind": kind, "name": name, "base": null, "delete": false, "spec": spec })
}

/// The operator has decided that nothing was applied, and invites to come back.
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
    /// A client with the operators' credential.
    #[must_use]
    pub fn new(address: SocketAddr, token: &str) -> Self {
        Self {
            address,
            token: token.to_owned(),
            http: Http::new(),
        }
    }

    /// Sends a call and reads the whole answer.
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

    /// Applies the changes as one set; gives the version. Comes back as long as
    /// the answer says that nothing was applied yet.
    ///
    /// # Errors
    /// When the set is not accepted.
    pub async fn apply(&self, changes: Vec<Value>) -> anyhow::Result<u64> {
        let reply = until("an operator that takes changes", async || {
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

    /// Applies the changes as one set; gives whatever is answered.
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

    /// The budget as the ledgers know it.
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
    /// When it does not in time.
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
