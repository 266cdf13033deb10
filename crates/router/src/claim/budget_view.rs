//! Polls a ledger for a budget's free tokens while the account is in use.
//!
//! A claim reports the tokens that were free when it was decided. Without polling, a
//! router that has enough quota for a while would not learn that the budget is nearly
//! spent or was topped up.

use std::time::Duration;

use swiftlink_wire::link::{BudgetView, GetBudgets, reply, request};
use tokio::sync::watch;

use super::ClaimContext;
use crate::account::Account;
use crate::ledgers::by_preference;

/// Time between two reads.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum wait for a ledger's answer.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Reads the budget's state every [`READ_INTERVAL`] during which requests asked for
/// quota.
pub(super) async fn follow(
    context: &ClaimContext,
    account: &Account,
    view_tx: &watch::Sender<BudgetView>,
) {
    let mut seen = 0;
    loop {
        tokio::time::sleep(READ_INTERVAL).await;
        let requests = account.grant.demand().requests;
        if requests == seen {
            continue;
        }
        if let Some(view) = read(context, account).await {
            seen = requests;
            view_tx.send_replace(view);
        }
    }
}

/// Reads the budget's state from the nearest connected ledger.
async fn read(context: &ClaimContext, account: &Account) -> Option<BudgetView> {
    let ledgers = by_preference(context.ledgers.near());
    let ledger = ledgers.first()?;
    let query = GetBudgets {
        names: vec![account.budget.to_string()],
    };
    let kind = request::Kind::GetBudgets(query);
    match ledger.client.call(kind, READ_TIMEOUT).await {
        Ok(reply::Kind::Budgets(budgets)) => budgets.items.into_iter().next(),
        Ok(_) => None,
        Err(_) => {
            ledger.deprioritize();
            None
        }
    }
}
