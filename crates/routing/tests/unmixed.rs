//! Long prompts beside streams whose callers accept short pauses only, on servers of
//! different speeds.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use swiftlink_routing::{
    Fleet, FleetPolicy, Flow, Note, Pick, Policy, Prompt, Rendezvous, Sent, ServerIdx, ServerSpec,
    Unmixed,
};
use swiftlink_types::{DomainName, ServerInstance, ServerName};

const MS: u64 = 1_000;
const SEC: u64 = 1_000_000;
/// Longest pause that callers accept.
const PAUSE: Duration = Duration::from_millis(300);
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
        is_canary: false,
        cold_until: 0,
    };
    let specs: Vec<ServerSpec> = (0..count).map(spec).collect();
    fleet.set_config(&specs);
    fleet.set_pause(Some(PAUSE));
    fleet
}

fn fleet(count: usize) -> Fleet {
    fleet_of(Box::new(Unmixed::default()), count)
}

fn name(number: usize) -> ServerName {
    ServerName::from(format!("runner-{number}"))
}

fn idx(fleet: &Fleet, number: usize) -> ServerIdx {
    fleet.find(&name(number)).expect("configured")
}

fn pick(prefix: u64, prompt: Prompt, now: u64) -> Pick<'static> {
    Pick {
        now,
        prefix,
        prompt,
        aim: SEC,
        ..Pick::default()
    }
}

/// Shows a fleet of four that server 0 is slower than the others, and that prompts make
/// streams pause for `longest` at an ordinary one.
fn show_speeds(fleet: &mut Fleet, longest: u64) {
    for _ in 0..40 {
        for number in 0..4 {
            let gap = if number == 0 { 26 * MS } else { 20 * MS };
            let flow = Flow { gap, longest };
            fleet.on_flow(idx(fleet, number), flow);
        }
    }
}

/// How many of 200 requests with different prefixes go to server 0. Each ends before the next.
fn sent_to_first(fleet: &mut Fleet, prompt: Prompt) -> usize {
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

/// Lets the policy see both lengths in turn, so that it knows their mean.
fn show_lengths(fleet: &mut Fleet) {
    let mut rng = Pcg64Mcg::new(3);
    for step in 0..400_u64 {
        let prompt = if step % 4 == 0 { LONG } else { SHORT };
        let sent = fleet.send(&pick(rng.next_u64() | 1, prompt, step), &mut rng);
        fleet.on_end(sent.expect("a server"), step + 1);
    }
}

#[test]
fn long_prompts_stay_away_from_a_server_where_they_stall_streams() {
    let mut fleet = fleet(4);
    show_lengths(&mut fleet);
    show_speeds(&mut fleet, 280 * MS);
    assert_eq!(sent_to_first(&mut fleet, LONG), 0);
}

#[test]
fn short_prompts_go_to_a_server_without_long_ones() {
    let mut fleet = fleet(4);
    show_lengths(&mut fleet);
    show_speeds(&mut fleet, 280 * MS);
    // Only short ones are sent here, so half of them are below their own mean in the end.
    assert!(sent_to_first(&mut fleet, SHORT) > 80);
}

#[test]
fn nothing_is_kept_apart_where_pauses_are_short_enough() {
    let mut fleet = fleet(4);
    show_lengths(&mut fleet);
    show_speeds(&mut fleet, 150 * MS);
    let first = sent_to_first(&mut fleet, LONG);
    assert!((25..75).contains(&first), "{first} of 200");
}

/// The pattern: 86 routers before servers of 12 slots, each of which knows of a hundredth of the
/// requests. Apart, all short prompts would meet at the same few servers.
#[test]
fn routers_that_do_not_hear_of_each_other_keep_nothing_apart() {
    let mut fleet = fleet(4);
    show_lengths(&mut fleet);
    show_speeds(&mut fleet, 280 * MS);
    assert_eq!(fleet.quiet_len(), 1);
    fleet.set_apart(false);
    assert_eq!(fleet.quiet_len(), 0);
    show_speeds(&mut fleet, 280 * MS);
    assert_eq!(fleet.quiet_len(), 0);
}

/// A server that is slow since it has too much to do must not get all short prompts besides.
#[test]
fn a_slow_server_with_much_to_read_gets_no_more() {
    let mut fleet = fleet(4);
    show_lengths(&mut fleet);
    show_speeds(&mut fleet, 280 * MS);
    let first = idx(&fleet, 0);
    let mut rng = Pcg64Mcg::new(7);
    let mut at_first = 0;
    for step in 1..=100_u64 {
        // None of them is read.
        let pick = pick(rng.next_u64() | 1, SHORT, SEC + step);
        let sent = fleet.send(&pick, &mut rng).expect("a server");
        at_first += usize::from(sent.idx == first);
    }
    assert!(at_first < 40, "{at_first} of 100");
}

#[test]
fn what_peers_have_a_server_read_counts_until_they_are_silent() {
    let mut fleet = fleet(4);
    let mut rng = Pcg64Mcg::new(1);
    // A prompt of 9,000 tokens takes 0.27 seconds.
    for step in 1..20_u64 {
        let now = step * SEC;
        let mut sent = fleet.send(&pick(step, LONG, now), &mut rng).expect("one");
        fleet.on_first_token(&mut sent, now + 270 * MS);
        fleet.on_end(sent, now + 300 * MS);
    }
    let now = 30 * SEC;
    let home = fleet.pick(&pick(77, LONG, now), &mut rng).expect("one");
    let note = Note {
        server: fleet.get(home).expect("known").instance().clone(),
        unread: 60_000,
        flows: Vec::new(),
        prefixes: Vec::new(),
    };
    fleet.on_note(5, now, &note);
    let other = fleet.pick(&pick(77, LONG, now), &mut rng).expect("one");
    assert_ne!(other, home);
    let later = fleet.pick(&pick(77, LONG, now + 2 * SEC), &mut rng);
    assert_eq!(later, Some(home));
}

#[test]
fn a_prefix_stays_at_its_home_while_the_wait_there_is_short() {
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
fn notes_tell_peers_what_was_sent_and_seen_once() {
    let mut one = fleet(4);
    let mut rng = Pcg64Mcg::new(1);
    let sent = one.send(&pick(9, LONG, 0), &mut rng).expect("one");
    let flow = Flow {
        gap: 20 * MS,
        longest: 100 * MS,
    };
    one.on_flow(sent.idx, flow);
    let note = Note {
        server: one.get(sent.idx).expect("known").instance().clone(),
        unread: 9_000,
        flows: vec![flow],
        prefixes: vec![9],
    };
    assert_eq!(one.take_notes(), vec![note]);
    assert_eq!(one.take_notes(), Vec::new());
    one.on_end(sent, SEC);
    let notes = one.take_notes();
    assert_eq!(notes.len(), 1);
    assert_eq!(notes[0].unread, 0);
}

/// Tokens that a server reads in one step at most.
const CHUNK: u64 = 2_048;
/// Time to read a token (µs), and of a step without reading.
const READ: u64 = 43;
const STEP: u64 = 6 * MS;
/// Tokens of an event.
const STRIDE: u32 = 3;

/// A stream at an engine.
struct Stream {
    sent: Option<Sent>,
    unread: u64,
    events: u32,
    tokens: u32,
    last: Option<u64>,
    gaps: Vec<u64>,
}

/// An engine that reads prompts in chunks between the tokens of its streams.
struct Engine {
    /// Tenths of the usual time that a step takes.
    tenths: u64,
    next: u64,
    streams: Vec<Stream>,
}

impl Engine {
    /// One step, until `next`; gives the streams that ended.
    fn step(&mut self, fleet: &mut Fleet) -> Vec<Stream> {
        let mut chunk = 0;
        for stream in &mut self.streams {
            let read = stream.unread.min(CHUNK - chunk);
            stream.unread -= read;
            chunk += read;
        }
        self.next += (STEP + chunk * READ) * self.tenths / 10;
        for stream in self.streams.iter_mut().filter(|stream| stream.unread == 0) {
            stream.tokens += 1;
            if stream.tokens % STRIDE != 0 {
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

/// Twenty seconds of four letters for each job with a long prompt, on eight servers of which
/// two are slow. Gives the parts of letters and of jobs that paused for too long.
fn paused(policy: Box<dyn Policy>) -> (f64, f64) {
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
            unread: prompt.own + prompt.shared * u64::from(rng.random_bool(0.3)),
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
                    fleet.on_flow(sent.idx, Flow { gap, longest });
                    fleet.on_end(sent, now);
                    let count = &mut counts[usize::from(stream.tokens < 100)];
                    count.0 += 1;
                    count.1 += usize::from(longest > PAUSE.as_micros() as u64);
                }
            }
        }
    }
    let part = |(all, late): (usize, usize)| late as f64 / f64::from(all.max(1) as u32);
    (part(counts[0]), part(counts[1]))
}

/// The pattern: letters with 95 events, jobs with prompts ten times as long, and a third of
/// the jobs' shared parts not cached.
#[test]
fn fewer_streams_pause_for_too_long_than_by_prefix_alone() {
    let (letters, jobs) = paused(Box::new(Unmixed::default()));
    let (plain, plain_jobs) = paused(Box::new(Rendezvous::default()));
    assert!(letters < plain * 0.7, "{letters} {plain}");
    assert!(jobs <= plain_jobs, "{jobs} {plain_jobs}");
}

/// What peers tell of a server crosses its next start: notes of the one before change nothing,
/// and its prompts count as not read.
#[test]
fn notes_of_another_start_change_nothing() {
    let specs = |born| {
        let start = ServerInstance::new(name(0), born);
        [ServerSpec {
            instance: start,
            domain: DomainName::from("rennes-a"),
            vm: None,
            slots: 64,
            drain: false,
            is_canary: false,
            cold_until: 0,
        }]
    };
    let mut fleet = fleet(1);
    fleet.set_config(&specs(5));
    let mut rng = Pcg64Mcg::new(1);
    let unread = |fleet: &mut Fleet, rng: &mut Pcg64Mcg, now| {
        let mut sent = fleet.send(&pick(9, LONG, now), rng).expect("one");
        let notes = fleet.take_notes();
        fleet.on_first_token(&mut sent, now + 100 * MS);
        fleet.on_end(sent, now + 200 * MS);
        notes[0].unread
    };
    let all = unread(&mut fleet, &mut rng, 0);
    let known = unread(&mut fleet, &mut rng, SEC);
    assert!(known < all, "{known} of {all}");
    fleet.set_config(&specs(6));
    let note = |born| Note {
        server: ServerInstance::new(name(0), born),
        unread: 0,
        flows: Vec::new(),
        prefixes: vec![9],
    };
    fleet.on_note(1, 2 * SEC, &note(5));
    fleet.on_note(1, 2 * SEC, &note(7));
    assert_eq!(unread(&mut fleet, &mut rng, 3 * SEC), all);
    fleet.set_config(&specs(8));
    fleet.on_note(1, 4 * SEC, &note(8));
    assert_eq!(unread(&mut fleet, &mut rng, 5 * SEC), known);
}
