//! Case 6: a planned restart of a gateway whose statements go on at its peers.

use standins::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// No gateway votes for the longest statement timeout and 5 s more after the start of a whole fleet.
const FLEET_STARTED_MS: u64 = 33_000;
/// What a request may take beyond its timeout before it counts as lost.
const SLACK_MS: u64 = 500;

struct Sent {
    id: String,
    kind: &'static str,
    gateway: usize,
    timeout_ms: u64,
    sent_at: u64,
    /// Milliseconds from sending to the answer.
    took_ms: u64,
    answer: Answer,
}

fn main() {
    let folder = case_folder();
    let record = Record::create(&folder);
    let logs = log_folder();
    let starts: Starts = Arc::default();
    let engines: Vec<Engine> = (0..6)
        .map(|n| {
            let kind = if n % 2 == 0 { "node-16c" } else { "node-12c" };
            Engine::start(&format!("s-{n}"), HALLS[n / 2], kind, &starts, &record)
        })
        .collect();
    let entries: Vec<String> = engines.iter().map(|engine| engine.entry("in_service")).collect();
    let journals: Vec<Journal> = (0..3).map(|_| Journal::start(event_line(1, true, &entries), &record)).collect();
    let members: Vec<String> = (0..3)
        .map(|n| format!("{{\"name\":\"n{n}\",\"zone\":\"{}\",\"address\":\"{}\"}}", HALLS[n], free_address()))
        .collect();
    let own = format!("{{\"peers\":{{\"gateways\":[{}]}}}}", members.join(","));
    let names = ["n0", "n1", "n2"];
    let configuration = |n: usize, address| Configuration {
        name: names[n],
        address,
        journal: journals[n].address,
        known: journals[n].known(),
        settings: KANDY_MERCHANT.replace("ME", &n.to_string()),
        own: Some(own.clone()),
    };
    let mut gateways: Vec<Gateway> =
        (0..3).map(|n| Gateway::start(&configuration(n, free_address()), &logs)).collect();
    record.say(&format!("three gateways are ready; waiting {FLEET_STARTED_MS} ms, so that they vote"));
    sleep_ms(FLEET_STARTED_MS);

    // The statements: at each gateway reports and loads of 8 s, and a lookup every 200 ms.
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for gateway in 0..3 {
        for n in 0..4 {
            let kind = if n % 2 == 0 { "settle-report" } else { "settle-load" };
            let (group, timeout_ms) = (10 * gateway as u32 + n, 24_000);
            clients.push(ask(gateways[gateway].address, gateway, kind, timeout_ms, 8_000, group, &sent, &record));
        }
        for n in 0..15 {
            let (group, timeout_ms) = (40 + n % 5, 2_400);
            clients.push(ask(gateways[gateway].address, gateway, "payout-lookup", timeout_ms, 100, group, &sent, &record));
            sleep_ms(20);
        }
    }
    sleep_ms(700);
    if has_trouble() {
        record.say("SIGTERM to n1: a planned restart");
        gateways[1].signal("TERM");
        let at = Instant::now();
        // SIGKILL comes no sooner than 3.7 s after SIGTERM; here at 6 s, if the program has not ended by then.
        loop {
            if let Some(status) = gateways[1].ended() {
                record.say(&format!("n1 has ended by itself {} ms after SIGTERM: {status}", at.elapsed().as_millis()));
                break;
            }
            if at.elapsed() > Duration::from_millis(6_000) {
                record.say("SIGKILL to n1, 6 s after SIGTERM");
                gateways[1].signal("KILL");
                break;
            }
            sleep_ms(20);
        }
        let address = gateways[1].address;
        gateways[1] = Gateway::start(&configuration(1, address), &logs);
        record.say("n1 is ready again");
    }
    for client in clients {
        let _ = client.join();
    }

    // The rule: one final answer each, by the client's time and half a second.
    let sent = sent.lock().unwrap();
    let starts = starts.lock().unwrap();
    let mut lost = 0;
    for request in sent.iter() {
        let is_answered = matches!(request.answer, Answer::Rows(_) | Answer::Error(..));
        if !is_answered || request.took_ms > request.timeout_ms + SLACK_MS {
            lost += 1;
            let runs: Vec<String> = starts
                .iter()
                .filter(|start| start.id == request.id)
                .map(|start| format!("{} from {} to {}", start.engine, record.at(start.at), record.at(start.ended_at)))
                .collect();
            record.say(&format!(
                "LOST {} {} at n{}: sent at {}, after {} ms of {}: {}; ran at {}",
                request.kind,
                request.id,
                request.gateway,
                record.at(request.sent_at),
                request.took_ms,
                request.timeout_ms,
                request.answer.short(),
                runs.join(", "),
            ));
        }
    }
    let served = sent.iter().filter(|request| matches!(request.answer, Answer::Rows(_))).count();
    record.say(&format!("{} requests, {served} served, {lost} lost", sent.len()));
    if !has_trouble() && served < sent.len() * 9 / 10 {
        cannot_run("without the disruption fewer than nine in ten were served");
    }
    drop(gateways);
    std::process::exit(i32::from(lost > 0));
}

#[allow(clippy::too_many_arguments)]
fn ask(
    address: std::net::SocketAddr,
    gateway: usize,
    kind: &'static str,
    timeout_ms: u64,
    work_ms: u64,
    group: u32,
    sent: &Arc<Mutex<Vec<Sent>>>,
    record: &Record,
) -> thread::JoinHandle<()> {
    let (sent, record) = (sent.clone(), record.clone());
    thread::spawn(move || {
        let Ok(mut client) = Client::connect(address) else {
            return;
        };
        let id = new_id();
        let text = statement(kind, &id, timeout_ms, work_ms, group, "");
        if client.send(&text).is_err() {
            return;
        }
        let (sent_at, at) = (unix_ms(), Instant::now());
        record.line(&format!("client sends {kind} {id} to n{gateway}"));
        let answer = client.answer(Duration::from_millis(timeout_ms + SLACK_MS));
        let took_ms = at.elapsed().as_millis() as u64;
        record.line(&format!("client has for {kind} {id} from n{gateway}: {}", answer.short()));
        sent.lock().unwrap().push(Sent { id, kind, gateway, timeout_ms, sent_at, took_ms, answer });
    })
}
