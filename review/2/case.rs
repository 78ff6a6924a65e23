//! Case 2: some clients send statements whose comment holds thousands of fields.

#[path = "../standins/standins.rs"]
mod standins;

use standins::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// As the settings of `colombo-ledger`, with two engines.
const SETTINGS: &str = r#"{"balancers":1,"me":0,"tick-ns":5000000,"zone":0,"zones":["kotte-dc"],"host-types":["std-8","std-16"],
 "categories":[
  {"aim-stretch":2.0,"effect":"safe","give-up-ns":4000000000,"goal-time-ns":800000000,"key-scope":"all","late-value":0.1,"name":"lookup","stream":false,"window-ns":5000000000,"worth":1.0},
  {"aim-stretch":2.5,"effect":"safe","give-up-ns":25000000000,"goal-time-ns":3000000000,"key-scope":"all","late-value":0.4,"name":"report","stream":false,"window-ns":5000000000,"worth":8.0},
  {"aim-stretch":2.5,"effect":"unsafe","give-up-ns":25000000000,"goal-time-ns":4000000000,"key-scope":"all","late-value":0.5,"name":"load","stream":false,"window-ns":5000000000,"worth":8.0}],
 "contract":{"budget-free":5.0,"cold-from":0.34,"drain-grace-ns":250000000,"grace-to-answer-ns":20000000,"must-ask-in-ns":10000000000,"overload-factor":2.5,"repeat-ratio":0.2,"resend-span-ns":5000000000,"tip-after-ns":3000000000,"warm-up-ns":14000000000},
 "customers":[{"allowance-per-s":400.0,"name":"retail-wallet","share":1.0}],
 "extra":{"cores-by-kind":[8,16],"dop":[1,2,2],"loads":[false,false,true],"memory-heeded":false,"most-grant":0.4,"progress-pace-ns":2000000000,"ranks-heeded":true,"size-mb":[16384.0,32768.0],"tells-cost":true,"when-short":"queue","yields-to-loads":[false,false,false]},
 "load-info":{"fields":["waiting","active","x0"],"how":"piggyback"},"over-share-worth":0.1,
 "permissions":{"connect-timeout-ns":250000000,"idle-close-ns":30000000000,"max-attempts":4,"max-retry-after-ns":2000000000,"may-cancel":true,"may-probe":false,"most-held":20000,"peers":false,"retry-after":true,"second-copies":false},
 "registry-mode":"pushed"}"#;

const CLIENTS: u64 = 8;
const BAD_CLIENTS: u64 = 40;
/// Length of a bad client's statement; the gateway reads messages of up to 62,137 bytes with these limits.
const BAD_BYTES: usize = 60_000;
const CALM_MS: u64 = 5_000;
const TROUBLE_MS: u64 = 20_000;
/// An answer up to half a second after the client's time is not lost.
const SLACK_MS: u64 = 500;

#[derive(Default)]
struct Outcomes {
    sent: u64,
    served: u64,
    refused: u64,
    failed: u64,
    lost: u64,
    lost_loads: u64,
    closed: u64,
    slowest_ms: u64,
    sent_loads: u64,
}

fn main() {
    let case = Case::from_environment();
    let engines: Vec<Arc<Engine>> = ["e1", "e2"]
        .iter()
        .map(|name| {
            let plan = |call: &Call, _door: usize| {
                let id = call.header("Via-Id").unwrap_or_default().to_owned();
                let run_ms = if call.header("Via-Class") == Some("load") { 2500 } else { 60 };
                Ok(Plan { run_ms, pages: vec![format!("{id}\tb\tc\n")] })
            };
            Engine::start(name, 1, &case.record, plan, Engine::whole)
        })
        .collect();
    let rows: Vec<String> = engines
        .iter()
        .map(|engine| row(&format!("s-{}", engine.name), engine.doors[0], "kotte-dc", "std-8", "in_service"))
        .collect();
    let journal = Journal::start("n0", &case.record);
    let known = journal.gateway_starts(&rows);
    let mut gateway = case.start_gateway(&GatewayStart {
        name: "n0".into(),
        listen: free_address(),
        journal: journal.address,
        known,
        settings: SETTINGS.into(),
        own: None,
    });
    let stop = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Outcomes>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (stop, outcomes, record) = (stop.clone(), outcomes.clone(), case.record.clone());
            let address = gateway.address;
            std::thread::spawn(move || run_client(n, address, &stop, &outcomes, &record))
        })
        .collect();
    sleep_ms(CALM_MS);
    let bad_stop = Arc::new(AtomicBool::new(false));
    let bad_answers = Arc::new(Mutex::new(0u64));
    if case.has_trouble {
        let text = Arc::new(bad_statement());
        case.record.write(&format!("{BAD_CLIENTS} bad clients begin; each sends a statement of {} bytes again and again", text.len()));
        for _ in 0..BAD_CLIENTS {
            let (stop, answers, address) = (bad_stop.clone(), bad_answers.clone(), gateway.address);
            let (text, record) = (text.clone(), case.record.clone());
            std::thread::spawn(move || run_bad_client(address, &text, &stop, &answers, &record));
        }
    }
    sleep_ms(TROUBLE_MS);
    bad_stop.store(true, Ordering::SeqCst);
    stop.store(true, Ordering::SeqCst);
    case.record.write("bad clients end; no further statements");
    for client in clients {
        let _ = client.join();
    }
    let ended = gateway.wait(Duration::ZERO);
    let outcomes = lock(&outcomes);
    let mut dropped_loads = 0;
    for engine in &engines {
        engine.with_executions(|executions| {
            let is_dropped = |e: &&Execution| e.class == "load" && e.over.is_some_and(|(_, why)| why == "dropped");
            dropped_loads += executions.iter().filter(is_dropped).count();
        });
    }
    let summary = format!(
        "{} statements ({} loads): {} served, {} refused, {} failed, {} without an answer half a second after their time ({} loads), {} on a connection that closed; slowest answer {} ms; {dropped_loads} loads dropped by engines that were not asked; {} answers to bad clients; gateway ended: {ended:?}",
        outcomes.sent, outcomes.sent_loads, outcomes.served, outcomes.refused, outcomes.failed, outcomes.lost,
        outcomes.lost_loads, outcomes.closed, outcomes.slowest_ms, lock(&bad_answers)
    );
    case.record.write(&summary);
    println!("{summary}");
    if outcomes.served < 50 {
        case.cannot_run("too few statements were served");
    }
    case.finish(outcomes.lost > 0)
}

/// A statement that cannot be used: no id, and some 13,000 fields that nobody knows.
fn bad_statement() -> String {
    let letters: Vec<char> = ('a'..='z').chain('A'..='Z').chain('0'..='9').collect();
    let mut text = String::from("/* ");
    'names: for first in ["", "x", "y", "z", "X", "Y", "Z", "q", "w"] {
        for second in &letters {
            for third in &letters {
                if text.len() + 40 > BAD_BYTES {
                    break 'names;
                }
                if !(first.is_empty() && *second == 'm' && *third == 's') {
                    text += &format!("{first}{second}{third}=,");
                }
            }
        }
    }
    text + "kind=lookup */ SELECT a FROM sales_1.orders"
}

/// Reads what it is sent and sends the same again the moment it is turned away.
fn run_bad_client(address: SocketAddr, text: &str, stop: &AtomicBool, answers: &Mutex<u64>, record: &Record) {
    while !stop.load(Ordering::SeqCst) {
        let Some(mut client) = Client::connect(address) else {
            sleep_ms(100);
            continue;
        };
        while !stop.load(Ordering::SeqCst) {
            match client.execute(text, Duration::from_secs(30)) {
                Answer::None => break,
                answer => {
                    let mut answers = lock(answers);
                    *answers += 1;
                    if *answers <= 3 {
                        record.write(&format!("bad client: {}", answer.describe()));
                    }
                }
            }
        }
    }
}

fn run_client(n: u64, address: SocketAddr, stop: &AtomicBool, outcomes: &Mutex<Outcomes>, record: &Record) {
    let mut random = Random::new(unix_ms() ^ (n + 1) << 40);
    let mut client = None;
    while !stop.load(Ordering::SeqCst) {
        if client.is_none() {
            client = Client::connect(address);
        }
        let Some(connected) = &mut client else {
            sleep_ms(50);
            continue;
        };
        let id = format!("{:016x}", random.next());
        let (class, work, timeout) = if random.below(12) == 0 { ("load", 5000, 25_000) } else { ("lookup", 60, 4000) };
        let text = format!(
            "/* kind={class},req={id},timeout={timeout},owner=retail-wallet,ms={work}.0,space=32 */ SELECT a, b, c FROM sales_{}.orders",
            random.below(5)
        );
        let sent_at = Instant::now();
        let answer = connected.execute(&text, Duration::from_millis(timeout + SLACK_MS));
        let took_ms = sent_at.elapsed().as_millis() as u64;
        let mut outcomes = lock(outcomes);
        outcomes.sent += 1;
        outcomes.sent_loads += u64::from(class == "load");
        match &answer {
            Answer::Rows(_) => outcomes.served += 1,
            answer if answer.is_refusal() => outcomes.refused += 1,
            Answer::Error(..) => outcomes.failed += 1,
            // A statement that crosses the close of a resting connection is not counted.
            Answer::None => {
                if took_ms >= timeout + SLACK_MS {
                    outcomes.lost += 1;
                    outcomes.lost_loads += u64::from(class == "load");
                } else {
                    outcomes.closed += 1;
                }
                client = None;
            }
        }
        if answer != Answer::None {
            outcomes.slowest_ms = outcomes.slowest_ms.max(took_ms);
        }
        if !matches!(answer, Answer::Rows(_)) {
            record.write(&format!("client: {id} ({class}) {} after {took_ms} ms", answer.describe()));
        }
        drop(outcomes);
        sleep_ms(40 + random.below(60));
    }
}
