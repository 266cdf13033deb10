//! Handles requests from other routers.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use async_trait::async_trait;
use swiftlink_link::{Handler, Replies, TunnelRefusal, TunnelTarget};
use swiftlink_telemetry::event;
use swiftlink_types::PoolName;
use swiftlink_wire::link::{
    Ended, Failure, FailureKind, FeedRecords, GetFeed, Noted, OpenTunnel, PoolReport, PoolSummary,
    Refusal, Release, Released, Reserve, Reserved, Seen, Tally, reply, request,
};

use crate::admission::{self, Aggregates};
use crate::ingress::DomainReports;
use crate::limits::Coordinator;
use crate::node::Node;
use crate::origins;
use crate::paths::TunnelServer;
use crate::quarantine::gossip;
use crate::quota::PeerReservations;
use crate::rollout;
use crate::server_updates;
use crate::watch::replicas;

/// Serves the requests of peers from this router's state.
#[derive(Debug)]
pub(crate) struct PeerHandler {
    pub(crate) node: Arc<Node>,
    pub(crate) reservations: Arc<PeerReservations>,
    /// Issues permits for servers that limit their rate.
    pub(crate) permits: Arc<Coordinator>,
    /// Collects the reports on links in this failure domain.
    pub(crate) links: Arc<DomainReports>,
    /// Reports on the pools that this router aggregates.
    pub(crate) aggregates: Arc<Aggregates>,
    /// Opens connections to servers that peers can't reach.
    pub(crate) tunnels: Arc<TunnelServer>,
}

impl PeerHandler {
    fn steady(&self) -> u64 {
        self.node.quotas.clock().steady()
    }

    fn acknowledge(&self) -> reply::Kind {
        reply::Kind::Noted(Noted {
            process: self.node.process,
            steady_ms: self.steady(),
        })
    }

    /// Reserves quota for a peer. A stopping router refuses, since it returns its quota soon:
    /// other routers grant.
    async fn reserve(&self, request: &Reserve) -> Reserved {
        if self.node.is_stopping.load(Relaxed) {
            return Reserved {
                refusal: Refusal::Elsewhere.into(),
                ..Reserved::default()
            };
        }
        self.reservations.reserve(&self.node.quotas, request).await
    }

    async fn reply_reserve(&self, request: &Reserve, replies: &Replies) {
        let mut reserved = self.reserve(request).await;
        reserved.process = self.node.process;
        reserved.steady_ms = self.steady();
        let kind = reply::Kind::Reserved(reserved);
        if replies.send(kind, true).await.is_err() {
            // The peer has given up and will not use the reservation.
            let ended = Ended {
                number: request.number,
                spent: 0,
                held: None,
            };
            self.reservations.release(request.process, &[ended]);
        }
    }

    fn release(&self, release: &Release) -> Released {
        self.reservations.release(release.process, &release.ended);
        Released {
            process: self.node.process,
            steady_ms: self.steady(),
        }
    }

    async fn feed_records(&self, request: &GetFeed) -> FeedRecords {
        let apply = self.node.settings.config_apply;
        let node = &self.node;
        let answer = node
            .replicas
            .answer(request, node.process, apply, &*node.list);
        replicas::message(answer.await)
    }

    fn record_tally(&self, tally: &Tally) {
        let pool = PoolName::from(tally.pool.as_str());
        let report = rollout::decode_report(tally);
        self.node
            .reports
            .insert(&pool, tally.order, tally.process, report);
    }

    fn summarize(&self, report: &PoolReport) -> PoolSummary {
        let name = PoolName::from(report.pool.as_str());
        let Some(pool) = self.node.pools.get(&name) else {
            return PoolSummary::default();
        };
        let load = admission::decode_report(report);
        let targets = pool.admission.targets();
        let (summary, speeds) =
            self.aggregates
                .on_report(&name, report.process, load, &report.servers, &targets);
        admission::encode_summary(&summary, speeds)
    }

    fn last_seen(&self, process: u64) -> Seen {
        let Some(reading) = self.node.peer_clocks.get(process) else {
            return Seen::default();
        };
        Seen {
            steady_ms: Some(reading.steady),
            age_ms: self.steady().saturating_sub(reading.asked),
        }
    }
}

#[async_trait]
impl Handler for PeerHandler {
    async fn handle(&self, peer: &str, request: request::Kind, replies: Replies) {
        let kind = match request {
            request::Kind::Notes(updates) => {
                server_updates::apply(&self.node.pools, peer, updates);
                self.acknowledge()
            }
            request::Kind::Ends(ends) => match gossip::reply_to(&self.node.quarantine, peer, &ends) {
                Some(known) => reply::Kind::Ends(known),
                None => self.acknowledge(),
            },
            request::Kind::Tally(tally) => {
                self.record_tally(&tally);
                self.acknowledge()
            }
            request::Kind::AskPermits(ask) => {
                reply::Kind::Permits(self.permits.reply_to(peer, &ask))
            }
            request::Kind::DomainReport(report) => {
                reply::Kind::DomainSummary(self.links.reply_to(report))
            }
            request::Kind::PoolReport(report) => {
                reply::Kind::PoolSummary(self.summarize(&report))
            }
            request::Kind::StreamOrigins(message) => {
                origins::receive(self.node.pools.origins(), &message);
                self.acknowledge()
            }
            request::Kind::FindOrigin(ask) => {
                let origins = self.node.pools.origins();
                reply::Kind::OriginReply(origins::answer(origins, &*self.node.list, &ask).await)
            }
            request::Kind::CopyOrigins(_) => {
                let pools = &self.node.pools;
                reply::Kind::StreamOrigins(origins::copy_for(pools.origins(), pools))
            }
            request::Kind::GetSeen(get) => reply::Kind::Seen(self.last_seen(get.process)),
            request::Kind::GetFeed(request) => {
                reply::Kind::FeedRecords(self.feed_records(&request).await)
            }
            request::Kind::Reserve(request) => return self.reply_reserve(&request, &replies).await,
            request::Kind::Release(release) => reply::Kind::Released(self.release(&release)),
            _ => reply::Kind::Failure(Failure {
                kind: FailureKind::Unspecified.into(),
                detail:
                    "routers reserve rights, take notes and ends, tell of others and of feeds, nothing else"
                        .to_owned(),
            }),
        };
        if replies.send(kind, true).await.is_err() {
            event!(info, "peer.reply_lost", peer = peer);
        }
    }

    async fn open_tunnel(
        &self,
        peer: &str,
        target: &OpenTunnel,
    ) -> Result<TunnelTarget, TunnelRefusal> {
        self.tunnels.open(peer, target).await
    }
}
