//! Composition and start of a fleet.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use anyhow::Context as _;
use serde_json::{Map, Value, json};
use tempfile::TempDir;

use super::daemon::{Addresses, Daemon, Role};
use super::net::Net;
use super::operator::Operator;
use super::sample::{self, Tenant};
use super::settings::{self, Location, TOKEN};
use super::standin::{Dirs, Standin};
use super::{Fleet, Vm};

/// Maximum number of attempts to start a fleet, each with other ports.
const MAX_STARTS: usize = 3;

/// Composition of a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    binaries: PathBuf,
    vms: usize,
    domains: usize,
    engines: usize,
    services: usize,
    shards: u32,
    relayed: bool,
    router: Value,
    ledger: Value,
    operator: Value,
    tenants: Vec<Tenant>,
}

impl Plan {
    /// Plans three VMs in three failure domains, two engines, one service, and the tenant
    /// `lannec` with a million tokens. The binaries are in the directory `binaries`.
    #[must_use]
    pub fn new(binaries: PathBuf) -> Self {
        Self {
            binaries,
            vms: 3,
            domains: 3,
            engines: 2,
            services: 1,
            shards: 2,
            relayed: false,
            router: json!({}),
            ledger: json!({}),
            operator: json!({}),
            tenants: vec![Tenant::new("lannec", 1_000_000)],
        }
    }

    /// Sets the number of VMs and the failure domains that they are spread over.
    #[must_use]
    pub fn vms(mut self, vms: usize, domains: usize) -> Self {
        self.vms = vms;
        self.domains = domains;
        self
    }

    /// Sets the number of engines.
    #[must_use]
    pub fn engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Sets the number of plain services.
    #[must_use]
    pub fn services(mut self, services: usize) -> Self {
        self.services = services;
        self
    }

    /// Routes every link between processes, and the traffic to each backend server, through
    /// its own relay.
    #[must_use]
    pub fn relayed(mut self) -> Self {
        self.relayed = true;
        self
    }

    /// Replaces the default tenant.
    #[must_use]
    pub fn tenants(mut self, tenants: Vec<Tenant>) -> Self {
        self.tenants = tenants;
        self
    }

    /// Adds settings of the routers.
    #[must_use]
    pub fn router(mut self, more: Value) -> Self {
        self.router = more;
        self
    }

    /// Adds settings of the ledgers.
    #[must_use]
    pub fn ledger(mut self, more: Value) -> Self {
        self.ledger = more;
        self
    }

    /// Adds settings of the operator daemon.
    #[must_use]
    pub fn operator(mut self, more: Value) -> Self {
        self.operator = more;
        self
    }

    /// Starts all processes, applies the configuration, and waits until every router has
    /// applied it. When a port is already in use, the start is retried with other ports.
    ///
    /// # Errors
    /// When the last attempt failed.
    pub async fn start(&self) -> anyhow::Result<Fleet> {
        let mut tried = 1;
        loop {
            let work = tempfile::tempdir().context("can't create a temporary directory")?;
            let work = Arc::new(work);
            match self.try_start(Arc::clone(&work)).await {
                Ok(fleet) => return Ok(fleet),
                Err(error) if tried < MAX_STARTS && is_address_in_use(&error) => tried += 1,
                Err(error) => {
                    print_outputs(work.path());
                    return Err(error);
                }
            }
        }
    }

    async fn try_start(&self, work: Arc<TempDir>) -> anyhow::Result<Fleet> {
        let dirs = Dirs {
            binaries: self.binaries.clone(),
            work: work.path().to_owned(),
        };
        let mut startup = Startup {
            plan: self,
            net: Net::new(self.relayed),
            vms: self.layout(),
            dirs,
        };
        let log = Standin::start(&startup.dirs, "log", "log", &[]).await?;
        let mut args = Vec::new();
        for vm in &startup.vms {
            args.push("--vm".to_owned());
            args.push(format!("{}:{}", vm.location.vm, vm.location.domain));
        }
        let vms = Standin::start(&startup.dirs, "vms", "vms", &args).await?;
        let engines = startup.standins("engine", self.engines).await?;
        let services = startup.standins("service", self.services).await?;
        let mut ledgers = Vec::new();
        let mut routers = Vec::new();
        for at in 0..self.vms {
            ledgers.push(startup.ledger(at, &log, &vms).await?);
        }
        for at in 0..self.vms {
            routers.push(startup.router(at, &vms).await?);
        }
        let operator = startup.operator(&log).await?;
        let api = Operator::new(operator.address(), TOKEN);
        let servers = startup.servers(&engines, &services).await?;
        let mut fleet = Fleet {
            log,
            vms,
            engines,
            services,
            ledgers,
            routers,
            operator,
            api,
            net: startup.net,
            tenants: self.tenants.clone(),
            shards: self.shards,
            _work: work,
        };
        fleet.prepare(servers).await?;
        Ok(fleet)
    }

    fn layout(&self) -> Vec<Vm> {
        let mut vms = Vec::new();
        for at in 0..self.vms {
            let location = Location {
                vm: format!("vm-{at}"),
                domain: domain(at, self.domains),
            };
            vms.push(Vm {
                location,
                router: Addresses::reserve(),
                ledger: Addresses::reserve(),
            });
        }
        vms
    }
}

struct Startup<'a> {
    plan: &'a Plan,
    net: Net,
    vms: Vec<Vm>,
    dirs: Dirs,
}

impl Startup<'_> {
    async fn standins(&self, kind: &str, count: usize) -> anyhow::Result<Vec<Standin>> {
        let mut standins = Vec::new();
        for at in 0..count {
            let name = format!("{kind}-{at}");
            standins.push(Standin::start(&self.dirs, kind, &name, &[]).await?);
        }
        Ok(standins)
    }

    async fn ledger(&mut self, at: usize, log: &Standin, vms: &Standin) -> anyhow::Result<Daemon> {
        let name = format!("ledger-{at}");
        let vm = self.vms[at].clone();
        let mut peers = Vec::new();
        for other in self.others(at) {
            let to = format!("ledger-{other}");
            let peer = self.vms[other].clone();
            let address = self.net.link(&name, &to, peer.ledger.listen).await?;
            peers.push(settings::peer(
                &peer.location.vm,
                address,
                &peer.location.domain,
            ));
        }
        let mut map = settings::common(&vm.location, vm.ledger);
        let log = self.net.link(&name, "log", log.address()).await?;
        let list = self.net.link(&name, "vms", vms.address()).await?;
        let more = json!({
            "log": log, "vms": list, "peers": peers, "shards": self.plan.shards,
        });
        settings::merge(&mut map, &more);
        settings::merge(&mut map, &self.plan.ledger);
        self.daemon(Role::Ledger, &name, vm.ledger, map)
    }

    async fn router(&mut self, at: usize, vms: &Standin) -> anyhow::Result<Daemon> {
        let name = format!("router-{at}");
        let vm = self.vms[at].clone();
        let ledgers = self.ledgers(&name).await?;
        let mut peers = Vec::new();
        for other in self.others(at) {
            let to = format!("router-{other}");
            let peer = self.vms[other].clone();
            let address = self.net.link(&name, &to, peer.router.listen).await?;
            peers.push(settings::peer(
                &peer.location.vm,
                address,
                &peer.location.domain,
            ));
        }
        let list = self.net.link(&name, "vms", vms.address()).await?;
        let mut map = settings::common(&vm.location, vm.router);
        let more = json!({
            "ledgers": ledgers, "peers": peers, "vms": list, "shards": self.plan.shards,
            "service_load": "/_standin/load",
        });
        settings::merge(&mut map, &more);
        settings::merge(&mut map, &self.plan.router);
        self.daemon(Role::Router, &name, vm.router, map)
    }

    async fn operator(&mut self, log: &Standin) -> anyhow::Result<Daemon> {
        let name = "operator";
        let location = self.vms[0].location.clone();
        let addresses = Addresses::reserve();
        let ledgers = self.ledgers(name).await?;
        let log = self.net.link(name, "log", log.address()).await?;
        let mut processes = Vec::new();
        for (at, vm) in self.vms.iter().enumerate() {
            for (role, admin) in [("router", vm.router.admin), ("ledger", vm.ledger.admin)] {
                let name = format!("{role}-{at}");
                processes.push(json!({ "name": name, "role": role, "admin": admin }));
            }
        }
        let mut map = settings::common(&location, addresses);
        let more = json!({
            "token": TOKEN, "log": log, "ledgers": ledgers, "processes": processes,
        });
        settings::merge(&mut map, &more);
        settings::merge(&mut map, &self.plan.operator);
        self.daemon(Role::Operator, name, addresses, map)
    }

    async fn ledgers(&mut self, from: &str) -> anyhow::Result<Vec<Value>> {
        let mut ledgers = Vec::new();
        for (at, vm) in self.vms.clone().iter().enumerate() {
            let to = format!("ledger-{at}");
            let address = self.net.link(from, &to, vm.ledger.listen).await?;
            ledgers.push(settings::peer(
                &vm.location.vm,
                address,
                &vm.location.domain,
            ));
        }
        Ok(ledgers)
    }

    async fn servers(
        &mut self,
        engines: &[Standin],
        services: &[Standin],
    ) -> anyhow::Result<Vec<Value>> {
        let mut changes = Vec::new();
        for (pool, standins) in [(sample::MODEL, engines), (sample::SERVICE, services)] {
            for (at, standin) in standins.iter().enumerate() {
                let name = standin.process.name();
                let address = self.net.link("routers", name, standin.address()).await?;
                let domain = domain(at, self.plan.domains);
                changes.push(sample::server(pool, name, address, &domain));
            }
        }
        Ok(changes)
    }

    fn others(&self, at: usize) -> Vec<usize> {
        (0..self.vms.len()).filter(|other| *other != at).collect()
    }

    fn daemon(
        &self,
        role: Role,
        name: &str,
        addresses: Addresses,
        map: Map<String, Value>,
    ) -> anyhow::Result<Daemon> {
        let table = settings::to_toml(map)?;
        Daemon::start(&self.dirs, role, name, addresses, &table)
    }
}

fn domain(at: usize, domains: usize) -> String {
    format!("domain-{}", at % domains.max(1))
}

/// Prints the output of the processes of a failed start.
fn print_outputs(work: &Path) {
    let Ok(entries) = std::fs::read_dir(work) else {
        return;
    };
    for entry in entries.flatten() {
        let path = entry.path();
        if path.extension().is_none_or(|kind| kind != "out") {
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        eprintln!("---- {} printed:\n{text}", path.display());
    }
}

fn is_address_in_use(error: &anyhow::Error) -> bool {
    let text = format!("{error:#}");
    text.contains("in use") || text.contains("EADDRINUSE")
}
