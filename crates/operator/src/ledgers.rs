//! Links to the ledgers: budgets, and the configuration while the log is out.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use swiftlink_client::api::Budget;
use swiftlink_link::{Client, LinkError, ReplyStream, Secret};
use swiftlink_settings::LinkPeer;
use swiftlink_wire::link::{BudgetView, Follow, GetBudgets, reply, request};

/// Time limit of one question to a ledger.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Links to every ledger of the settings, those of the own failure domain first.
pub(crate) struct Ledgers {
    links: Vec<(String, Arc<Client>)>,
}

/// What the ledgers know of a budget.
pub(crate) enum Known {
    /// The newest view among the answers.
    View(Budget),
    /// Ledgers answered, this one among them, and none knows the budget.
    Absent(String),
    /// No ledger answered.
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

    /// Name of each ledger, and whether its link is up.
    pub(crate) fn states(&self) -> impl Iterator<Item = (&str, bool)> {
        self.links
            .iter()
            .map(|(name, client)| (name.as_str(), client.is_up()))
    }

    /// The newest view of a budget that any ledger has.
    pub(crate) async fn budget(&self, name: &str) -> Known {
        let asks = self
            .links
            .iter()
            .map(|(ledger, client)| ask(ledger, client, name));
        let mut known = Known::Unreachable;
        let answers = join_all(asks).await;
        for ((ledger, _client), answer) in self.links.iter().zip(answers) {
            let Some(answer) = answer else {
                continue;
            };
            known = newer(known, answer, ledger);
        }
        known
    }

    /// Pages of `stream` from the first ledger whose link is up.
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

async fn ask(ledger: &str, client: &Client, name: &str) -> Option<Option<Budget>> {
    let names = vec![name.to_owned()];
    let kind = request::Kind::GetBudgets(GetBudgets { names });
    let answer = client.call(kind, ASK_TIMEOUT).await;
    let Ok(reply::Kind::Budgets(budgets)) = answer else {
        return None;
    };
    let view = budgets.items.into_iter().find(|view| view.name == name);
    Some(view.map(|view| budget(ledger, view)))
}

fn budget(ledger: &str, view: BudgetView) -> Budget {
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

fn newer(known: Known, answer: Option<Budget>, ledger: &str) -> Known {
    match (known, answer) {
        (Known::View(old), Some(new)) if new.offset > old.offset => Known::View(new),
        (Known::View(old), _) => Known::View(old),
        (_, Some(new)) => Known::View(new),
        (_, None) => Known::Absent(ledger.to_owned()),
    }
}
