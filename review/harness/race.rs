//! Two operators send different configurations with the same version number to two daemons at once.

use std::{
    path::Path,
    sync::{Arc, Barrier},
    thread,
    time::Duration,
};

use crate::{
    http::{self, Message},
    operator::{self, Route},
    record::Record,
    servers::{Runs, Server},
    tier::{Shape, Tier, TARGETS, ZONES},
    Verdict,
};

const ROUNDS: u64 = 8;
/// One way between regions.
const LINK_DELAY: Duration = Duration::from_millis(20);
/// By how much later the second operator sends, from round to round.
const OFFSETS_MS: [u64; 4] = [0, 10, 20, 30];
/// `configApplyMs` of the deployment.
const CONFIG_APPLY: Duration = Duration::from_millis(4_000);
const MARGIN: Duration = Duration::from_millis(1_000);
const REQUESTS: usize = 3;

/// The two operators' contents of one version: each names other services.
const SIDES: [&str; 2] = ["blue", "green"];
const SHARDS: usize = 4;

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let record = Record::create(&folder.join("record.txt"));
    let shape = Shape {
        keepers: 3,
        entries_per_zone: 2,
        drain_ms: 4_000,
        losses_max: 1,
        link_delay: Some(LINK_DELAY),
    };
    let mut tier = Tier::prepare(&shape);
    let runs: Arc<Runs> = Arc::default();
    let keepers: Vec<_> = tier.keepers().iter().map(|node| tier.control_of(*node)).collect();
    tier.start_all();
    let mut host = 100;
    for service in all_services() {
        for (zone, name) in ZONES.iter().enumerate() {
            let id = format!("i-{service}-{zone}");
            let address = tier.address(host, TARGETS);
            host += 1;
            let server = Server::new((&id, &service, name), address, (8, 10), &runs, &record);
            server.serve();
            let near = [zone, (zone + 1) % 3, (zone + 2) % 3].map(|k| keepers[k]);
            server.beat(near.to_vec());
        }
    }
    let first = document(2, None, "blue");
    let limit = Duration::from_secs(15);
    if operator::put(&keepers, 0, &first, "operator 1", &record, limit).is_none()
        || !tier.wait_ready(limit)
    {
        record.say("the tier does not start");
        return Verdict::NotRun;
    }
    tier.end_first_start();
    thread::sleep(Duration::from_secs(2));
    let mut broken = 0;
    for round in 1..=ROUNDS {
        broken += usize::from(play_round(round, trouble, &tier, &keepers, &runs, &record));
    }
    record.say(&format!("{broken} of {ROUNDS} rounds broke the rule"));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Plays one version; returns whether content that is not in force was obeyed.
fn play_round(
    round: u64,
    trouble: bool,
    tier: &Tier,
    keepers: &[std::net::SocketAddr],
    runs: &Runs,
    record: &Arc<Record>,
) -> bool {
    let version = 10 * round;
    let (a, b) = ((round as usize) % 3, (round as usize + 1) % 3);
    let contents = SIDES.map(|side| document(version, Some(round), side));
    record.line(&format!("round {round}: version {version}, operator 1 sends {} to keeper {a}, operator 2 sends {} to keeper {b}", SIDES[0], SIDES[1]));
    let barrier = Arc::new(Barrier::new(2));
    let offset = Duration::from_millis(OFFSETS_MS[round as usize % OFFSETS_MS.len()]);
    let operators: Vec<_> = [(0, a), (1, b)]
        .into_iter()
        .map(|(index, keeper)| {
            let (content, keepers) = (contents[index].clone(), keepers.to_vec());
            let (record, barrier) = (Arc::clone(record), Arc::clone(&barrier));
            thread::spawn(move || {
                barrier.wait();
                if index == 1 {
                    thread::sleep(offset);
                }
                if index == 1 && !trouble {
                    // The other operator's change is in force everywhere by then.
                    thread::sleep(CONFIG_APPLY + MARGIN);
                }
                let who = format!("operator {}", index + 1);
                operator::put(&keepers, keeper, &content, &who, &record, Duration::from_secs(20))
            })
        })
        .collect();
    for operator in operators {
        let done = operator.join().unwrap();
        if done.is_none_or(|(_, status)| status != 200) {
            record.line("an operator's change was not acknowledged");
        }
    }
    thread::sleep(CONFIG_APPLY + MARGIN);
    // Read back at all daemons: one content is held under this version.
    let read: Vec<Option<usize>> = keepers
        .iter()
        .map(|keeper| {
            let text = operator::get(*keeper)?;
            contents.iter().position(|content| *content == text)
        })
        .collect();
    record.line(&format!("round {round}: read back at the keepers: {read:?} (0 = {}, 1 = {})", SIDES[0], SIDES[1]));
    let Some(held) = read.iter().flatten().next().copied() else {
        record.line("nothing could be read back");
        return false;
    };
    if read.iter().flatten().any(|other| *other != held) {
        record.say(&format!("round {round}: the keepers hand out different contents"));
        return true;
    }
    // The other operator, whose answer may have been lost, sends its change again. It has the version
    // that is held, so it changes nothing.
    let other = 1 - held;
    let who = format!("operator {} again", other + 1);
    operator::put(keepers, [a, b][other], &contents[other], &who, record, Duration::from_secs(5));
    let mut wrong = 0;
    let mut asked = 0;
    for node in tier.entries() {
        let name = &tier.nodes[node].name;
        for number in 0..REQUESTS {
            let id = format!("r{round}-{name}-{number}");
            let plain = request(tier, node, round, "plain", &format!("{id}-p"));
            let gather = request(tier, node, round, "gather", &format!("{id}-g"));
            asked += 2;
            for (kind, id, answer) in [("plain", format!("{id}-p"), plain), ("gather", format!("{id}-g"), gather)] {
                let ran = runs.of(&id);
                let foreign = ran.iter().any(|(service, _)| !service.starts_with(SIDES[held]));
                let status = answer.as_ref().map_or(0, Message::status);
                let parts = answer.as_ref().and_then(|a| a.header("x-fulmarweir-part-stamps")).unwrap_or("");
                let by: Vec<&str> = ran.iter().map(|(service, _)| service.as_str()).collect();
                record.line(&format!(
                    "{name} {kind} {id}: status {status}, run by {by:?}, parts [{parts}]{}",
                    if foreign { " <- content that is not held was obeyed" } else { "" }
                ));
                wrong += usize::from(foreign);
            }
        }
    }
    record.say(&format!(
        "round {round}: version {version} is read back as {} everywhere; {wrong} of {asked} requests were run as {} says",
        SIDES[held], SIDES[other]
    ));
    wrong > 0
}

fn all_services() -> Vec<String> {
    let mut services = Vec::new();
    for side in SIDES {
        services.push(format!("{side}-desk"));
        services.extend((0..SHARDS).map(|shard| format!("{side}-{shard}")));
    }
    services
}

/// A document with the routes of all rounds so far that `side` names for this round.
fn document(version: u64, round: Option<u64>, side: &str) -> String {
    let label = round.map_or("first".to_owned(), |round| round.to_string());
    let routes = [
        Route {
            name: format!("plain-{label}"),
            host: "desk.example".into(),
            prefix: format!("/plain{label}/"),
            idempotent: true,
            timeout_ms: 4_000,
            service: Some(format!("{side}-desk")),
            gather: Vec::new(),
        },
        Route {
            name: format!("gather-{label}"),
            host: "search.example".into(),
            prefix: format!("/gather{label}/"),
            idempotent: true,
            timeout_ms: 4_000,
            service: None,
            gather: (0..SHARDS).map(|shard| format!("{side}-{shard}")).collect(),
        },
    ];
    operator::document(version, &routes, &all_services())
}

fn request(tier: &Tier, node: usize, round: u64, kind: &str, id: &str) -> Option<Message> {
    let host = if kind == "plain" { "desk.example" } else { "search.example" };
    let headers = [
        ("host", host),
        ("x-fulmarweir-request-id", id),
        ("x-fulmarweir-deadline-ms", "4000"),
    ];
    let path = format!("/{kind}{round}/2f");
    let limit = Duration::from_secs(5);
    http::call(tier.callers_of(node), "GET", &path, &headers, &[], limit).ok()
}
