//! Additional daemons for a running fleet.

use std::path::Path;

use anyhow::Context as _;

use crate::fleet::{Addresses, Daemon, Dirs, Fleet, Operator, Role, TOKEN};

/// Starts a second operator daemon and waits until it is ready. It has the settings of the
/// fleet's own operator, except for its addresses and a direct connection to the log.
///
/// # Errors
/// When the daemon does not start.
pub async fn operator(
    fleet: &Fleet,
    binaries: &Path,
    name: &str,
) -> anyhow::Result<(Daemon, Operator)> {
    let file = fleet.operator.settings();
    let text = std::fs::read_to_string(&file).context("the operator's settings can't be read")?;
    let mut settings: toml::Table = text.parse().context("the settings aren't valid TOML")?;
    let addresses = Addresses::reserve();
    let places = [
        ("listen", addresses.listen),
        ("admin", addresses.admin),
        ("log", fleet.log.address()),
    ];
    for (key, address) in places {
        settings.insert(key.to_owned(), address.to_string().into());
    }
    let dirs = Dirs {
        binaries: binaries.to_owned(),
        work: file
            .parent()
            .context("the settings file has no directory")?
            .to_owned(),
    };
    let mut daemon = Daemon::start(&dirs, Role::Operator, name, addresses, &settings)?;
    daemon.ready().await?;
    let client = Operator::new(daemon.address(), TOKEN);
    Ok((daemon, client))
}
