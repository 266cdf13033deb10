//! Long prompts beside streams whose callers accept short gaps only, on servers of different
//! speeds.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use swiftlink_routing::{
    Dispatch, Fleet, FleetPolicy, PickArgs, Policy, PrefillIsolation, Prompt, Rendezvous,
    ServerIdx, ServerSpec, ServerUpdate, StreamGaps,
};
use swiftlink_types::{DomainName, ServerInstance, ServerName};

const MS: u64 = 1_000;
const SEC: u64 = 1_000_000;
/// Longest gap between events that callers accept.
const MAX_GAP: Duration = Duration::from_millis(300);
const LONG: Prompt = Prompt {
    own: 3_000,
    shared: 6_000,
};
const SHORT: Prompt = Prompt {
    own: 600,
    shared: 200,
};

fn fleet_of(policy: Box<dyn Policy>, count: usize) -> Fleet {
    let settings = FleetPolicy::new(DomainName::from("rennes-a"));
    let mut fleet = Fleet::new(settings, policy);
    let spec = |number| ServerSpec {
        instance: ServerInstance::from(name(number)),
        domain: DomainName::from("rennes-a"),
        vm: None,
        slots: 64,
        drain: false,
        version: None,
        is_excluded: false,
        is_canary: false,
        cold_until: 0,
    };
    let specs: Vec<ServerSpec> = (0..count).map(spec).collect();
    fleet.set_config(&specs);
    fleet.set_max_gap(Some(MAX_GAP));
    fleet
}

fn fleet(count: usize) -> Fleet {
    fleet_of(Box::new(PrefillIsolation::default()), count)
}

fn name(number: usize) -> ServerName {
    ServerName::from(format!("runner-{number}"))
}

fn idx(fleet: &Fleet, number: usize) -> ServerIdx {
    fleet.find(&name(number)).expect("configured")
}

fn pick(prefix: u64, prompt: Prompt, now: u64) -> PickArgs<'static> {
    PickArgs {
        now,
        prefix,
        prompt,
        ttft_target: SEC,
        ..PickArgs::default()
    }
}

/// Shows a fleet of four that server 0 is slower than the others, and that prefill causes gaps of
/// `longest` at an ordinary one.
fn observe_speeds(fleet: &mut Fleet, longest: u64) {
    for _ in 0..40 {
        for number in 0..4 {
            let gap = if number == 0 { 26 * MS } else { 20 * MS };
            let gaps = StreamGaps { gap, longest };
            fleet.on_gaps(idx(fleet, number), gaps);
        }
    }
}

/// How many of 200 requests with different prefixes go to server 0. Each ends before the next.
fn count_sent_to_first(fleet: &mut Fleet, prompt: Prompt) -> usize {
    let mut rng = Pcg64Mcg::new(7);
    let first = idx(fleet, 0);
    let mut count = 0;
    for step in 1..=200_u64 {
        let pick = pick(rng.next_u64() | 1, prompt, step * SEC);
        let sent = fleet.send(&pick, &mut rng).expect("a server");
        count += usize::from(sent.idx == first);
        fleet.on_end(sent, step * SEC + MS);
    }
    count
}

/// Sends prompts of both lengths, so that the policy learns their mean.
fn observe_lengths(fleet: &mut Fleet) {
    let mut rng = Pcg64Mcg::new(3);
    for step in 0..400_u64 {
        let prompt = if step % 4 == 0 { LONG } else { SHORT };
        let sent = fleet.send(&pick(rng.next_u64() | 1, prompt, step), &mut rng);
        fleet.on_end(sent.expect("a server"), step + 1);
    }
}

#[test]
fn long_prompts_avoid_a_server_where_they_stall_streams() {
    let mut fleet = fleet(4);
    observe_lengths(&mut fleet);
    observe_speeds(&mut fleet, 280 * MS);
    assert_eq!(count_sent_to_first(&mut fleet, LONG), 0);
}

#[test]
fn short_prompts_go_to_an_isolated_server() {
    let mut fleet = fleet(4);
    observe_lengths(&mut fleet);
    observe_speeds(&mut fleet, 280 * MS);
    // Only short prompts are sent here, so in the end half of them are below their own mean.
    assert!(count_sent_to_first(&mut fleet, SHORT) > 80);
}

#[test]
fn no_server_is_isolated_while_gaps_are_short_enough() {
    let mut fleet = fleet(4);
    observe_lengths(&mut fleet);
    observe_speeds(&mut fleet, 150 * MS);
    let first = count_sent_to_first(&mut fleet, LONG);
    assert!((25..75).contains(&first), "{first} of 200");
}

/// Guards against short prompts that all meet at few servers: with 86 routers and servers of 12
/// slots, each router knows of a hundredth of the requests, so isolation is disabled.
#[test]
fn routers_without_peer_updates_isolate_no_server() {
    let mut fleet = fleet(4);
    observe_lengths(&mut fleet);
    observe_speeds(&mut fleet, 280 * MS);
    assert_eq!(fleet.isolated_len(), 1);
    fleet.set_isolation(false);
    assert_eq!(fleet.isolated_len(), 0);
    observe_speeds(&mut fleet, 280 * MS);
    assert_eq!(fleet.isolated_len(), 0);
}

/// A server that is slow because it is busy must not get all short prompts in addition.
#[test]
fn isolated_server_with_a_large_backlog_gets_no_more() {
    let mut fleet = fleet(4);
    observe_lengths(&mut fleet);
    observe_speeds(&mut fleet, 280 * MS);
    let first = idx(&fleet, 0);
    let mut rng = Pcg64Mcg::new(7);
    let mut at_first = 0;
    for step in 1..=100_u64 {
        // None of these prompts is prefilled.
        let pick = pick(rng.next_u64() | 1, SHORT, SEC + step);
        let sent = fleet.send(&pick, &mut rng).expect("a server");
        at_first += usize::from(sent.idx == first);
    }
    assert!(at_first < 40, "{at_first} of 100");
}

#[test]
fn backlog_of_peers_counts_until_it_expires() {
    let mut fleet = fleet(4);
    let mut rng = Pcg64Mcg::new(1);
    // A prompt of 9,000 tokens takes 0.27 seconds to prefill.
    for step in 1..20_u64 {
        let now = step * SEC;
        let mut sent = fleet.send(&pick(step, LONG, now), &mut rng).expect("one");
        fleet.on_first_token(&mut sent, now + 270 * MS);
        fleet.on_end(sent, now + 300 * MS);
    }
    let now = 30 * SEC;
    let home = fleet.pick(&pick(77, LONG, now), &mut rng).expect("one");
    let update = ServerUpdate {
        server: fleet.get(home).expect("known").instance().clone(),
        backlog: 60_000,
        gaps: Vec::new(),
        prefixes: Vec::new(),
    };
    fleet.on_peer_update(5, now, &update);
    let other = fleet.pick(&pick(77, LONG, now), &mut rng).expect("one");
    assert_ne!(other, home);
    let later = fleet.pick(&pick(77, LONG, now + 2 * SEC), &mut rng);
    assert_eq!(later, Some(home));
}

#[test]
fn prefix_stays_at_its_preferred_server_while_the_wait_there_is_short() {
    let mut fleet = fleet(4);
    let mut rng = Pcg64Mcg::new(1);
    let home = fleet.pick(&pick(77, LONG, 0), &mut rng).expect("one");
    for step in 1..50_u64 {
        let now = step * SEC;
        let mut sent = fleet.send(&pick(77, LONG, now), &mut rng).expect("one");
        assert_eq!(sent.idx, home);
        fleet.on_first_token(&mut sent, now + 100 * MS);
        fleet.on_end(sent, now + 300 * MS);
    }
}

#[test]
fn updates_report_each_observation_once() {
    let mut one = fleet(4);
    let mut rng = Pcg64Mcg::new(1);
    let sent = one.send(&pick(9, LONG, 0), &mut rng).expect("one");
    let gaps = StreamGaps {
        gap: 20 * MS,
        longest: 100 * MS,
    };
    one.on_gaps(sent.idx, gaps);
    let update = ServerUpdate {
        server: one.get(sent.idx).expect("known").instance().clone(),
        backlog: 9_000,
        gaps: vec![gaps],
        prefixes: vec![9],
    };
    assert_eq!(one.take_updates(), vec![update]);
    assert_eq!(one.take_updates(), Vec::new());
    one.on_end(sent, SEC);
    let updates = one.take_updates();
    assert_eq!(updates.len(), 1);
    assert_eq!(updates[0].backlog, 0);
}

/// Largest number of prompt tokens in one step of the engine.
const CHUNK: u64 = 2_048;
/// Prefill time per token (µs), and time of a step without prefill.
const PREFILL_TIME: u64 = 43;
const STEP: u64 = 6 * MS;
/// Tokens per event.
const EVENT_TOKENS: u32 = 3;

/// A stream that an engine runs.
struct Stream {
    sent: Option<Dispatch>,
    prefill: u64,
    events: u32,
    tokens: u32,
    last: Option<u64>,
    gaps: Vec<u64>,
}

/// An engine with chunked prefill: it prefills prompts in chunks between the tokens of its streams.
struct Engine {
    /// Duration of a step, in tenths of the usual one.
    tenths: u64,
    next: u64,
    streams: Vec<Stream>,
}

impl Engine {
    /// Runs one step, until `next`; returns the streams that ended.
    fn step(&mut self, fleet: &mut Fleet) -> Vec<Stream> {
        let mut chunk = 0;
        for stream in &mut self.streams {
            let read = stream.prefill.min(CHUNK - chunk);
            stream.prefill -= read;
            chunk += read;
        }
        self.next += (STEP + chunk * PREFILL_TIME) * self.tenths / 10;
        for stream in self.streams.iter_mut().filter(|stream| stream.prefill == 0) {
            stream.tokens += 1;
            if stream.tokens % EVENT_TOKENS != 0 {
                continue;
            }
            stream.events -= 1;
            match stream.last.replace(self.next) {
                Some(last) => stream.gaps.push(self.next - last),
                None => {
                    let sent = stream.sent.as_mut().expect("not ended");
                    fleet.on_first_token(sent, self.next);
                }
            }
        }
        let (live, ended) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|stream| stream.events > 0);
        self.streams = live;
        ended
    }
}

/// Twenty seconds of load on eight servers, of which two are slow, with four requests with a short
/// prompt for each one with a long prompt. Returns the fractions of short and of long ones whose
/// gaps exceeded the limit.
fn simulate_late_shares(policy: Box<dyn Policy>) -> (f64, f64) {
    const SERVERS: usize = 8;
    let mut fleet = fleet_of(policy, SERVERS);
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let engine = |number| Engine {
        tenths: if number < 2 { 13 } else { 10 },
        next: 0,
        streams: Vec::new(),
    };
    let mut engines: Vec<Engine> = (0..SERVERS).map(engine).collect();
    let slots: Vec<ServerIdx> = (0..SERVERS).map(|number| idx(&fleet, number)).collect();
    let mut counts = [(0, 0); 2];
    for now in (0..20 * SEC).step_by(20 * MS as usize) {
        let is_long = rng.random_bool(0.2);
        let prompt = if is_long { LONG } else { SHORT };
        let prefix = rng.random_range(1..60) + 1_000 * u64::from(is_long);
        let sent = fleet.send(&pick(prefix, prompt, now), &mut rng);
        let sent = sent.expect("a server");
        let engine = slots
            .iter()
            .position(|slot| *slot == sent.idx)
            .expect("one");
        engines[engine].streams.push(Stream {
            prefill: prompt.own + prompt.shared * u64::from(rng.random_bool(0.3)),
            events: if is_long { 18 } else { 95 },
            tokens: 0,
            last: None,
            gaps: Vec::new(),
            sent: Some(sent),
        });
        for engine in &mut engines {
            while engine.next < now {
                for mut stream in engine.step(&mut fleet) {
                    let sent = stream.sent.take().expect("ended once");
                    stream.gaps.sort_unstable();
                    let longest = *stream.gaps.last().expect("some");
                    let gap = stream.gaps[stream.gaps.len() / 8];
                    fleet.on_gaps(sent.idx, StreamGaps { gap, longest });
                    fleet.on_end(sent, now);
                    let count = &mut counts[usize::from(stream.tokens < 100)];
                    count.0 += 1;
                    count.1 += usize::from(longest > MAX_GAP.as_micros() as u64);
                }
            }
        }
    }
    let part = |(all, late): (usize, usize)| late as f64 / f64::from(all.max(1) as u32);
    (part(counts[0]), part(counts[1]))
}

/// Short prompts with 95 events, long ones with ten times the tokens, and a shared part that isn't
/// cached in 30 % of the requests.
#[test]
fn fewer_streams_stall_than_with_rendezvous_alone() {
    let (short, long) = simulate_late_shares(Box::new(PrefillIsolation::default()));
    let (rendezvous_short, rendezvous_long) = simulate_late_shares(Box::new(Rendezvous::default()));
    assert!(short < rendezvous_short * 0.7, "{short} {rendezvous_short}");
    assert!(long <= rendezvous_long, "{long} {rendezvous_long}");
}

/// Updates of a peer may cross a server's restart: those about another instance are ignored, and
/// the prefixes of the previous instance don't count as cached.
#[test]
fn updates_of_another_instance_are_ignored() {
    let specs = |started| {
        let instance = ServerInstance::new(name(0), started);
        [ServerSpec {
            instance,
            domain: DomainName::from("rennes-a"),
            vm: None,
            slots: 64,
            drain: false,
            version: None,
            is_excluded: false,
            is_canary: false,
            cold_until: 0,
        }]
    };
    let mut fleet = fleet(1);
    fleet.set_config(&specs(5));
    let mut rng = Pcg64Mcg::new(1);
    let send_for_backlog = |fleet: &mut Fleet, rng: &mut Pcg64Mcg, now| {
        let mut sent = fleet.send(&pick(9, LONG, now), rng).expect("one");
        let updates = fleet.take_updates();
        fleet.on_first_token(&mut sent, now + 100 * MS);
        fleet.on_end(sent, now + 200 * MS);
        updates[0].backlog
    };
    let all = send_for_backlog(&mut fleet, &mut rng, 0);
    let known = send_for_backlog(&mut fleet, &mut rng, SEC);
    assert!(known < all, "{known} of {all}");
    fleet.set_config(&specs(6));
    let update = |started| ServerUpdate {
        server: ServerInstance::new(name(0), started),
        backlog: 0,
        gaps: Vec::new(),
        prefixes: vec![9],
    };
    fleet.on_peer_update(1, 2 * SEC, &update(5));
    fleet.on_peer_update(1, 2 * SEC, &update(7));
    assert_eq!(send_for_backlog(&mut fleet, &mut rng, 3 * SEC), all);
    fleet.set_config(&specs(8));
    fleet.on_peer_update(1, 4 * SEC, &update(8));
    assert_eq!(send_for_backlog(&mut fleet, &mut rng, 5 * SEC), known);
}
