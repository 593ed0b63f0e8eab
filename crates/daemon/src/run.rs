//! Starts the parts of the daemon, waits for a signal and stops them in order.

use std::{process, sync::Arc};

use error_stack::ResultExt;
use fulmarweir_base::TimerService;
use fulmarweir_conf::VmSettings;
use slog::{info, warn};
use tokio::{
    signal::unix::{SignalKind, signal},
    task::JoinHandle,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    announce_api::announce_router,
    caller_api::caller_router,
    error::{DaemonError, Result},
    lifecycle::LifeEvent,
    listener::{bind, serve_http},
    logging::build_logger,
    node::NodeState,
    operator_api::operator_router,
};

const EXIT_SECOND_SIGNAL: i32 = 130;

/// Runs the daemon until SIGTERM or SIGINT.
///
/// # Errors
///
/// When the runtime, a listener or the data folder cannot be used.
pub fn run(settings: VmSettings) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .change_context(DaemonError::Runtime)?;
    runtime.block_on(run_node(settings))
}

struct Listeners {
    stop: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

async fn run_node(mut settings: VmSettings) -> Result<()> {
    let log = build_logger(settings.log_level, settings.name.as_str());
    let (callers, callers_address) = bind(settings.listen.callers).await?;
    let (targets, targets_address) = bind(settings.listen.targets).await?;
    let (operators, operators_address) = bind(settings.listen.operators).await?;
    settings.listen.callers = callers_address;
    settings.listen.targets = targets_address;
    settings.listen.operators = operators_address;
    info!(log, "listening"; "callers" => %callers_address, "targets" => %targets_address,
        "operators" => %operators_address);

    let node = NodeState::new(settings, log.clone(), TimerService::new());
    let stop = CancellationToken::new();
    let serve = |listener, router| tokio::spawn(serve_http(listener, router, stop.clone()));
    let listeners = Listeners {
        tasks: vec![
            serve(callers, caller_router(Arc::clone(&node))),
            serve(targets, announce_router(Arc::clone(&node))),
            serve(operators, operator_router(Arc::clone(&node))),
        ],
        stop,
    };
    node.life.handle(&LifeEvent::ConfigHeld);
    wait_for_signal().await?;
    shut_down(&node, listeners).await;
    Ok(())
}

async fn wait_for_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).change_context(DaemonError::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(DaemonError::Runtime)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        process::exit(EXIT_SECOND_SIGNAL);
    });
    Ok(())
}

async fn shut_down(node: &NodeState, listeners: Listeners) {
    let limits = node.settings.shutdown;
    node.life.handle(&LifeEvent::StopAsked);
    info!(node.log, "settling"; "settle_ms" => limits.settle.as_millis());
    sleep(limits.settle).await;
    node.life.handle(&LifeEvent::Settled);
    listeners.stop.cancel();
    let finish = async {
        for task in listeners.tasks {
            let _ = task.await;
        }
        node.tasks.close();
        node.tasks.wait().await;
        node.links.close().await;
        node.timer.close().await;
    };
    if timeout(limits.drain_max, finish).await.is_err() {
        warn!(node.log, "drain-cut-short"; "drain_max_ms" => limits.drain_max.as_millis());
    }
    node.halt.cancel();
    info!(node.log, "stopped");
}
