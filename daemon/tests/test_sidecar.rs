//! A sidecar before stand-in targets: streams, joins, cancels, crashes, drains.

mod sidecar_env;

use std::time::Duration;

use rosemarymoor_lib::id::Attempt;
use rosemarymoor_lib::poison::PoisonRow;
use rosemarymoor_lib::target_client::{OrderAction, TargetOrder};
use rosemarymoor_lib::wire::{
    OrderReply, OrderRequest, PeerRequest, ResumeRequest, RunControl, RunEnvelope, RunFrame,
    StatusReply,
};
use rosemarymoor_testutils::application::ApplicationStandIn;
use rosemarymoor_testutils::engine::{EngineSettings, EngineStandIn, RunEnd};
use rosemarymoor_testutils::marker;
use sidecar_env::*;

const LONG_TOKENS: u64 = 400;
const WORK: Duration = Duration::from_millis(5);

async fn engine(settings: EngineSettings) -> EngineStandIn {
    EngineStandIn::bind(settings, 7).await.unwrap()
}

fn text(answered: &Answered) -> String {
    let lines = std::str::from_utf8(&answered.body).unwrap().lines();
    let events = lines.filter_map(|line| line.strip_prefix("data: "));
    let events = events.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok());
    let parts = events
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str().map(str::to_owned));
    parts.collect()
}

#[tokio::test]
async fn a_cut_stream_goes_on_and_resumes_at_its_offset() {
    let mut platform = Platform::start().await;
    let engine = engine(EngineSettings::default()).await;
    let sidecar = platform.sidecar("engine", engine.server().url()).await;
    let req = model_request("engine", "m1", LONG_TOKENS);
    let mut stream = sidecar.open(PeerRequest::Run(Box::new(req.clone()))).await;
    let first = loop {
        match stream.recv::<RunEnvelope>().await.unwrap().unwrap().frame {
            RunFrame::Data { bytes, .. } => break bytes,
            _ => continue,
        }
    };
    drop(stream);
    let offset = first.len() as u64;
    let resume =
        ResumeRequest { request: req.request, attempt: Attempt(1), holder: HOLDER, offset };
    let rest = read(sidecar.open(PeerRequest::Resume(resume)).await).await;
    assert!(rest.is_whole());
    assert_eq!(rest.offset, offset);
    let whole = Answered { body: [first, rest.body.clone()].concat(), ..Answered::default() };
    assert_eq!(text(&whole), marker::answer("m1", LONG_TOKENS));
    assert_eq!(engine.runs().len(), 1);
    assert_eq!(rest.charge(), engine.runs()[0].tokens());
}

#[tokio::test]
async fn a_second_delivery_joins_and_pays_nothing() {
    let mut platform = Platform::start().await;
    let engine = engine(EngineSettings::default()).await;
    let sidecar = platform.sidecar("engine", engine.server().url()).await;
    let req = model_request("engine", "m1", LONG_TOKENS);
    let mut retry = req.clone();
    retry.funding = funding(OTHER_HOLDER);
    let (first, joined) = tokio::join!(sidecar.run(&req), sidecar.run(&retry));
    let late = sidecar.run(&retry).await;
    for answered in [&first, &joined, &late] {
        assert_eq!(text(answered), marker::answer("m1", LONG_TOKENS));
    }
    let runs = engine.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(first.charge() + joined.charge(), runs[0].tokens());
    assert_eq!(late.charge().min(joined.charge()), 0);
}

#[tokio::test]
async fn a_cancel_stops_the_engine_and_charges_what_was_generated() {
    let mut platform = Platform::start().await;
    let engine = engine(EngineSettings::default()).await;
    let sidecar = platform.sidecar("engine", engine.server().url()).await;
    let req = model_request("engine", "m1", 4_000);
    let mut stream = sidecar.open(PeerRequest::Run(Box::new(req))).await;
    while !matches!(
        stream.recv::<RunEnvelope>().await.unwrap().unwrap().frame,
        RunFrame::Data { .. }
    ) {}
    stream.send(&RunControl::Cancel).await.unwrap();
    let mut charge = None;
    while let Some(envelope) = stream.recv::<RunEnvelope>().await.unwrap() {
        if let RunFrame::Refused { charge: told, .. } = envelope.frame {
            charge = Some(told);
        }
    }
    let run = engine.runs().remove(0);
    assert_eq!(run.end, RunEnd::Cancelled);
    let charge = charge.expect("the stream ends in a refusal");
    assert!(charge > 0 && charge <= run.tokens(), "{charge} of {}", run.tokens());
}

#[tokio::test]
async fn a_poison_request_crashes_two_engines_and_no_third() {
    let mut platform = Platform::start().await;
    let settings =
        EngineSettings { restart_after: Duration::from_millis(200), ..EngineSettings::default() };
    let engines =
        [engine(settings.clone()).await, engine(settings.clone()).await, engine(settings).await];
    let mut sidecars = Vec::new();
    ["e0", "e1", "e2"].into_iter().for_each(|name| {
        platform.announce(name);
    });
    for (name, engine) in ["e0", "e1", "e2"].iter().zip(&engines) {
        sidecars.push(platform.sidecar(name, engine.server().url()).await);
    }
    let neighbour = model_request("e0", "neighbour", LONG_TOKENS);
    let beside = async {
        let poison = model_request("e0", "poison", LONG_TOKENS);
        sidecars[0].wait_running().await;
        sidecars[0].run(&poison).await
    };
    let (hurt, poison) = tokio::join!(sidecars[0].run(&neighbour), beside);
    assert!(!poison.is_whole() && !hurt.is_whole());
    let again = sidecars[1].run(&model_request("e1", "poison", LONG_TOKENS)).await;
    assert!(!again.is_whole());
    let third = sidecars[2].run(&model_request("e2", "poison", LONG_TOKENS)).await;
    assert_eq!(third.code(), 3007);
    let served = sidecars[2].run(&model_request("e2", "neighbour", LONG_TOKENS)).await;
    assert_eq!(text(&served), marker::answer("neighbour", LONG_TOKENS));
    let crashes: usize = engines.iter().map(|engine| engine.crashes().len()).sum();
    assert_eq!(crashes, 2);
    while !stored_twice(&platform) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let fourth = engine_after_all(&mut platform).await;
    assert_eq!(fourth, 3007);
}

/// Whether the store knows of a fingerprint suspected of two crashes.
fn stored_twice(platform: &Platform) -> bool {
    let keys = platform.kv.keys("poison/");
    let values = keys.iter().filter_map(|key| platform.kv.value(key));
    let mut rows = values
        .flat_map(|value| serde_json::from_slice::<Vec<PoisonRow>>(&value).unwrap_or_default());
    rows.any(|row| row.suspicions() == 2)
}

/// Code with which a sidecar that was not there refuses the poison request.
async fn engine_after_all(platform: &mut Platform) -> u16 {
    let engine = engine(EngineSettings::default()).await;
    let sidecar = platform.sidecar("e3", engine.server().url()).await;
    sidecar.run(&model_request("e3", "poison", LONG_TOKENS)).await.code()
}

#[tokio::test]
async fn a_drain_finishes_what_runs_and_exits_with_zero() {
    let mut platform = Platform::start().await;
    let engine = engine(EngineSettings::default()).await;
    let sidecar = platform.sidecar("engine", engine.server().url()).await;
    let req = model_request("engine", "m1", LONG_TOKENS);
    let drain = async {
        sidecar.wait_running().await;
        let status: StatusReply = sidecar.call(&PeerRequest::Drain).await;
        assert!(status.draining);
        sidecar.run(&model_request("engine", "m2", 5)).await
    };
    let (answered, refused) = tokio::join!(sidecar.run(&req), drain);
    assert_eq!(text(&answered), marker::answer("m1", LONG_TOKENS));
    assert_eq!(refused.code(), 3004);
    assert_eq!(sidecar.task.await.unwrap(), 0);
    assert_eq!(engine.runs().len(), 1);
}

#[tokio::test]
async fn an_action_whose_reply_is_lost_has_an_unknown_fate_and_ran_once() {
    let mut platform = Platform::start().await;
    let application = ApplicationStandIn::bind(WORK, 3).await.unwrap();
    let sidecar = platform.sidecar("filing", application.server().url()).await;
    application.set_faults(|faults| faults.drop_reply = 1.0);
    let req = action_request("filing", "a1");
    assert_eq!(sidecar.run(&req).await.code(), 4001);
    application.set_faults(|faults| faults.drop_reply = 0.0);
    assert_eq!(sidecar.run(&req).await.code(), 4001, "a second delivery joins the first");
    assert_eq!(application.runs().len(), 1);
    assert!(sidecar.run(&action_request("filing", "a2")).await.is_whole());
}

#[tokio::test]
async fn a_call_to_a_stopped_application_has_not_run() {
    let mut platform = Platform::start().await;
    let application = ApplicationStandIn::bind(WORK, 3).await.unwrap();
    let sidecar = platform.sidecar("filing", application.server().url()).await;
    application.kill();
    let req = action_request("filing", "a1");
    assert_eq!(sidecar.run(&req).await.code(), 3010);
    application.restart().await.unwrap();
    while !sidecar.run(&req).await.is_whole() {}
    assert_eq!(application.runs().len(), 1);
}

#[tokio::test]
async fn a_crossed_answer_is_dropped() {
    let mut platform = Platform::start().await;
    let application = ApplicationStandIn::bind(WORK, 3).await.unwrap();
    let sidecar = platform.sidecar("filing", application.server().url()).await;
    assert!(sidecar.run(&action_request("filing", "a1")).await.is_whole());
    application.set_faults(|faults| faults.crossed = 1.0);
    let answered = sidecar.run(&action_request("filing", "a2")).await;
    assert_eq!(answered.code(), 4001);
    assert!(answered.body.is_empty());
}

#[tokio::test]
async fn an_old_fencing_number_is_refused_although_the_target_ignores_it() {
    let mut platform = Platform::start().await;
    let settings = EngineSettings { checks_fencing: false, ..EngineSettings::default() };
    let engine = engine(settings).await;
    let sidecar = platform.sidecar("engine", engine.server().url()).await;
    let action = OrderAction::LoadModel { model: "m".to_owned(), version: String::new() };
    let give = |fencing| {
        let order = TargetOrder { fencing, action: action.clone() };
        PeerRequest::Order(Box::new(OrderRequest { target: "engine".to_owned(), order }))
    };
    assert_eq!(sidecar.call::<OrderReply>(&give(5)).await, OrderReply::Done);
    assert_eq!(sidecar.call::<OrderReply>(&give(4)).await, OrderReply::StaleFencing { highest: 5 });
    assert_eq!(engine.orders().len(), 1);
}
