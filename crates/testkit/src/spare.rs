//! Further daemons beside those that a fleet starts with.

use std::path::Path;

use anyhow::Context as _;

use crate::fleet::{Addresses, Daemon, Dirs, Fleet, Operator, Role, TOKEN};

/// Starts a second operator daemon with the settings of the fleet's own, but at
/// addresses of its own and with a direct link to the log, and waits until it is ready.
///
/// # Errors
/// When it does not start.
pub async fn operator(
    fleet: &Fleet,
    binaries: &Path,
    name: &str,
) -> anyhow::Result<(Daemon, Operator)> {
    let file = fleet.operator.settings();
    let text = std::fs::read_to_string(&file).context("no settings to start from")?;
    let mut settings: toml::Table = text.parse().context("the settings are no TOML")?;
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
        work: file.parent().context("a file has a directory")?.to_owned(),
    };
    let mut daemon = Daemon::start(&dirs, Role::Operator, name, addresses, &settings)?;
    daemon.ready().await?;
    let client = Operator::new(daemon.address(), TOKEN);
    Ok((daemon, client))
}
