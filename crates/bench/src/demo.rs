//! Demo for new users: starts one VM and a few stand-in targets and prints one search.

use std::path::PathBuf;

use comfy_table::{Table, presets};
use error_stack::{Report, ResultExt};
use fulmarweir_base::ShardHolding;
use http::Method;

use crate::{
    client::{HttpCall, HttpClient, HttpReply},
    error::BenchError,
    scenario::{FIRST_VERSION, HITS_PER_SHARD},
    stand_in::{SearchAnswer, StandIn, StandInSettings},
    tier::{Tier, TierSettings},
};

type Result<T> = std::result::Result<T, Report<BenchError>>;

const SERVICE: &str = "street-app/pitches";
const SHARDS: u32 = 3;
const SEARCH_BODY: &str = "{\"near\":\"central square\"}";
const SHOWN_HITS: usize = 5;
const SETTLE_ATTEMPTS: u32 = 100;
const SETTLE_POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);
const CONFIG: &str = "\
[service street-app/pitches]
kind = search
prefer = latency
deadline-ms = 300
soft-deadline-ms = 150
";

/// Runs the demo and prints each step to standard output.
///
/// With `stay`, the demo keeps running until the process is interrupted.
///
/// # Errors
///
/// [`BenchError::Daemon`] when the daemon does not become ready or gives no answer with full
/// coverage.
pub(crate) async fn run_demo(program: PathBuf, stay: bool) -> Result<()> {
    println!("1. One daemon on loopback: {}", program.display());
    let tier = Tier::start(&TierSettings::single_centre(program, 1)).await?;
    println!("   settings, log and data: {}\n", tier.folder().display());
    println!("2. The operators' text, submitted and in force:\n");
    for line in CONFIG.lines() {
        println!("   {line}");
    }
    let version = tier.submit_config(CONFIG, 0).await?;
    println!("   => configuration version {version}\n");
    let daemon = &tier.daemons()[0];
    let targets = start_targets(daemon.targets()).await?;
    println!(
        "3. {} stand-in targets, one for each shard, announce themselves.\n",
        targets.len()
    );
    println!("4. One search:\n");
    let result = print_search(daemon.callers()).await;
    if result.is_ok() {
        print_next_steps(&tier, stay);
    }
    if stay {
        let _ = tokio::signal::ctrl_c().await;
    }
    for target in targets {
        target.drain().await;
        target.stop().await;
    }
    tier.stop().await?;
    result
}

async fn start_targets(vm: std::net::SocketAddr) -> Result<Vec<StandIn>> {
    let mut targets = Vec::new();
    for shard in 0..SHARDS {
        let name = format!("pitches-{}", shard + 1).parse();
        let name = name.change_context(BenchError::Settings)?;
        let service = SERVICE.parse().change_context(BenchError::Settings)?;
        let holding = ShardHolding {
            version: FIRST_VERSION,
            shard,
            of: SHARDS,
        };
        let mut settings = StandInSettings::new(name, service, holding);
        settings.vms = vec![vm];
        settings.hits = HITS_PER_SHARD;
        targets.push(StandIn::start(settings).await?);
    }
    Ok(targets)
}

async fn print_search(callers: std::net::SocketAddr) -> Result<()> {
    let reply = search_until_complete(callers).await?;
    let answer: SearchAnswer =
        serde_json::from_slice(&reply.body).change_context(BenchError::Daemon)?;
    println!("   POST http://{callers}/v1/search/{SERVICE}  {SEARCH_BODY}");
    println!(
        "   => {}  index version {}, coverage {} of {} shards, {} hits, the best of them:",
        reply.status,
        answer.version,
        answer.coverage.answered,
        answer.coverage.shards,
        answer.hits.len()
    );
    let mut table = Table::new();
    table.load_style(presets::ASCII_BORDERS_ONLY_CONDENSED);
    table.set_header(["hit", "score", "shard"]);
    for hit in answer.hits.iter().take(SHOWN_HITS) {
        table.add_row([
            hit.id.clone(),
            format!("{:.4}", hit.score),
            hit.shard.to_string(),
        ]);
    }
    println!("{table}\n");
    Ok(())
}

/// Repeats the search until an answer covers all shards.
async fn search_until_complete(callers: std::net::SocketAddr) -> Result<HttpReply> {
    let client = HttpClient::new();
    let path = format!("/v1/search/{SERVICE}");
    let full_coverage = format!("{SHARDS}/{SHARDS}");
    let mut last_reply = String::new();
    for _ in 0..SETTLE_ATTEMPTS {
        let call = HttpCall::new(Method::POST, callers, &path, SEARCH_BODY);
        let reply = client.send(call).await.change_context(BenchError::Daemon)?;
        if reply.header("fulmarweir-coverage") == Some(&full_coverage) {
            return Ok(reply);
        }
        last_reply = format!("{} {}", reply.status, reply.text());
        tokio::time::sleep(SETTLE_POLL_INTERVAL).await;
    }
    Err(Report::new(BenchError::Daemon)).attach(format!(
        "no answer with full coverage; last reply: {last_reply}"
    ))
}

fn print_next_steps(tier: &Tier, stay: bool) {
    let daemon = &tier.daemons()[0];
    let search = format!("http://{}/v1/search/{SERVICE}", daemon.callers());
    println!("What to try next:");
    if stay {
        println!("   curl -s -d '{SEARCH_BODY}' {search}");
        println!("   curl -s http://{}/v1/status", daemon.operators());
        println!("   curl -s http://{}/metrics", daemon.operators());
        println!("   fulmarweir --at-vm {} status", daemon.operators());
        println!("   Ctrl-C ends the demo.");
        return;
    }
    println!("   fulmarweir-bench demo --stay      keep it running, with calls to try");
    println!("   fulmarweir-bench load permits     a whole scenario under load, with a report");
    println!(
        "   fulmarweir-bench compare permits --second extra-load=0    the same without hedges"
    );
}
