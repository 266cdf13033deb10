//! Links to the ledgers, which serve budgets and, during a log outage, the configuration.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use swiftlink_client::api::Budget;
use swiftlink_link::{Client, LinkError, ReplyStream, Secret};
use swiftlink_settings::LinkPeer;
use swiftlink_wire::link::{BudgetView, Follow, GetBudgets, reply, request};

/// Timeout of one query to a ledger.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Links to the ledgers in the settings, those in the same failure domain first.
pub(crate) struct Ledgers {
    links: Vec<(String, Arc<Client>)>,
}

/// Result of querying all ledgers for a budget.
pub(crate) enum BudgetLookup {
    /// The newest view among the replies.
    Found(Budget),
    /// No ledger that replied knows the budget; holds the name of one of them.
    Unknown(String),
    /// No ledger replied.
    Unreachable,
}

impl Ledgers {
    pub(crate) fn open(peers: &[LinkPeer], domain: &str, name: &str, secret: &str) -> Self {
        let mut peers: Vec<_> = peers.iter().collect();
        peers.sort_by_key(|peer| peer.domain != domain);
        let mut links = Vec::new();
        for peer in peers {
            let client = Client::spawn(peer.address, name, Secret::new(secret));
            links.push((peer.name.clone(), client));
        }
        Self { links }
    }

    pub(crate) async fn stop(&self) {
        for (_name, client) in &self.links {
            client.stop().await;
        }
    }

    /// Returns the name of each ledger and whether its link is up.
    pub(crate) fn link_states(&self) -> impl Iterator<Item = (&str, bool)> {
        self.links
            .iter()
            .map(|(name, client)| (name.as_str(), client.is_up()))
    }

    /// Queries all ledgers and returns the newest view of a budget.
    pub(crate) async fn budget(&self, name: &str) -> BudgetLookup {
        let queries = self
            .links
            .iter()
            .map(|(ledger, client)| query(ledger, client, name));
        let mut lookup = BudgetLookup::Unreachable;
        let answers = join_all(queries).await;
        for ((ledger, _client), answer) in self.links.iter().zip(answers) {
            let Some(answer) = answer else {
                continue;
            };
            lookup = newer(lookup, answer, ledger);
        }
        lookup
    }

    /// Requests pages of `stream` from the first ledger whose link is up; returns its name too.
    pub(crate) async fn follow(
        &self,
        stream: &str,
        from: u64,
    ) -> Option<(&str, Result<ReplyStream, LinkError>)> {
        for (name, client) in &self.links {
            if !client.is_up() {
                continue;
            }
            let follow = Follow {
                stream: stream.to_owned(),
                from,
            };
            return Some((name, client.stream(request::Kind::Follow(follow)).await));
        }
        None
    }
}

async fn query(ledger: &str, client: &Client, name: &str) -> Option<Option<Budget>> {
    let names = vec![name.to_owned()];
    let kind = request::Kind::GetBudgets(GetBudgets { names });
    let answer = client.call(kind, QUERY_TIMEOUT).await;
    let Ok(reply::Kind::Budgets(budgets)) = answer else {
        return None;
    };
    let view = budgets.items.into_iter().find(|view| view.name == name);
    Some(view.map(|view| to_budget(ledger, view)))
}

fn to_budget(ledger: &str, view: BudgetView) -> Budget {
    Budget {
        name: view.name,
        ledger: ledger.to_owned(),
        topped_up: view.topped_up,
        granted: view.granted,
        charged: view.charged,
        free: view.free,
        quarantined: view.quarantined,
        offset: view.offset,
        age_ms: view.age_ms,
        top_ups: view.top_ups,
    }
}

fn newer(lookup: BudgetLookup, answer: Option<Budget>, ledger: &str) -> BudgetLookup {
    match (lookup, answer) {
        (BudgetLookup::Found(old), Some(new)) if new.offset > old.offset => {
            BudgetLookup::Found(new)
        }
        (BudgetLookup::Found(old), _) => BudgetLookup::Found(old),
        (_, Some(new)) => BudgetLookup::Found(new),
        (_, None) => BudgetLookup::Unknown(ledger.to_owned()),
    }
}
