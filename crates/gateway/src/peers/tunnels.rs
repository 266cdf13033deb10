//! Tunnels through other routers.

use std::time::Duration;

use async_trait::async_trait;
use swiftlink_link::{Tunnel, TunnelError};
use swiftlink_types::VmName;
use swiftlink_wire::link::OpenTunnel;

use super::{Peers, lock};
use crate::paths::{ServerId, Tunnels};

#[async_trait]
impl Tunnels for Peers {
    fn candidates(&self) -> (Vec<VmName>, Vec<VmName>) {
        let members = lock(&self.members);
        let (near, far): (Vec<_>, Vec<_>) = members
            .values()
            .map(|(member, _)| member)
            .partition(|member| member.domain == self.domain);
        let vms = |all: Vec<&crate::quota::holders::Member>| {
            all.into_iter().map(|member| member.vm.clone()).collect()
        };
        (vms(near), vms(far))
    }

    async fn open(
        &self,
        vm: &VmName,
        target: &ServerId,
        time: Duration,
    ) -> Result<Tunnel, TunnelError> {
        let Some((address, secret)) = self.link_address(vm) else {
            return Err(TunnelError::Down("the router is unknown".to_owned()));
        };
        let target = OpenTunnel {
            pool: target.pool.to_string(),
            server: target.instance.name.to_string(),
            born: target.instance.started,
            wait_ms: u32::try_from(time.as_millis()).unwrap_or(u32::MAX),
        };
        Tunnel::open(address, self.vm.as_str(), &secret, target).await
    }
}
