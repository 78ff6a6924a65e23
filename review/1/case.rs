//! Case 1: some good answers of an engine carry a length that does not fit.

#[path = "../standins/standins.rs"]
mod standins;

use standins::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
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

const CLIENTS: u64 = 6;
const DURATION: Duration = Duration::from_secs(30);
/// One good answer in so many is spoilt.
const SPOILT_ONE_IN: u64 = 20;
/// The second piece of an answer follows the first by this.
const PIECE_MS: u64 = 8;
const TIMEOUT_MS: u64 = 4000;

fn rows_of(id: u64) -> Vec<[String; 3]> {
    let mut random = Random::new(id);
    let count = 4 + random.below(24);
    (0..count)
        .map(|n| [format!("{n}"), format!("{}", random.below(100)), format!("{:x}", random.below(256))])
        .collect()
}

fn main() {
    let case = Case::from_environment();
    let has_trouble = case.has_trouble;
    let spoilt: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let random = Arc::new(Mutex::new(Random::new(unix_ms())));
    let engines: Vec<Arc<Engine>> = ["e1", "e2"]
        .iter()
        .map(|name| {
            let plan = |call: &Call, _door: usize| {
                let id = call.header("Via-Id").unwrap_or_default();
                let number = u64::from_str_radix(id, 16).unwrap_or(0);
                let text: String = rows_of(number).iter().map(|row| row.join("\t") + "\n").collect();
                Ok(Plan { run_ms: 5 + number % 20, pages: vec![text] })
            };
            let (random, spoilt, record) = (random.clone(), spoilt.clone(), case.record.clone());
            let engine = name.to_string();
            let deliver = move |stream: &mut TcpStream, response: &Response, _door: usize| {
                let length = response.body.len();
                let (is_spoilt, claimed) = {
                    let mut random = lock(&random);
                    let is_spoilt = has_trouble && response.status == 200 && random.below(SPOILT_ONE_IN) == 0;
                    (is_spoilt, random.below(2 * length as u64 + 1) as usize)
                };
                // Every good answer is written in two pieces. A spoilt one states a length that is
                // drawn evenly from nothing to twice the right one.
                let claimed = if is_spoilt { claimed } else { length };
                let first = if response.status == 200 { claimed.min(length) } else { length };
                let first = if claimed >= length { length / 2 } else { first };
                if is_spoilt {
                    record.write(&format!("engine {engine}: spoilt answer, Content-Length {claimed} of {length} bytes"));
                    lock(&spoilt).insert(response.body.clone(), format!("{claimed} of {length}"));
                }
                let head = response.head(claimed);
                stream.write_all((head + &response.body[..first]).as_bytes())?;
                if first < length {
                    sleep_ms(PIECE_MS);
                    stream.write_all(&response.body.as_bytes()[first..])?;
                }
                Ok(())
            };
            Engine::start(name, 1, &case.record, plan, deliver)
        })
        .collect();
    let rows: Vec<String> = engines
        .iter()
        .map(|engine| row(&format!("s-{}", engine.name), engine.doors[0], "kotte-dc", "std-8", "in_service"))
        .collect();
    let journal = Journal::start("n0", &case.record);
    let known = journal.gateway_starts(&rows);
    let gateway = case.start_gateway(&GatewayStart {
        name: "n0".into(),
        listen: free_address(),
        journal: journal.address,
        known,
        settings: SETTINGS.into(),
        own: None,
    });
    let until = Instant::now() + DURATION;
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, counts, address) = (case.record.clone(), counts.clone(), gateway.address);
            std::thread::spawn(move || run_client(n, address, until, &record, &counts))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let counts = lock(&counts);
    let summary = format!(
        "{} statements, {} served as the engine made them, {} served otherwise, {} failed or refused, {} without an answer; {} answers spoilt",
        counts.sent, counts.right, counts.wrong, counts.errors, counts.unanswered, lock(&spoilt).len()
    );
    case.record.write(&summary);
    println!("{summary}");
    if counts.sent < 500 || counts.right < counts.sent / 2 {
        case.cannot_run("too few statements were served");
    }
    case.finish(counts.wrong > 0)
}

#[derive(Default)]
struct Counts {
    sent: u64,
    right: u64,
    wrong: u64,
    errors: u64,
    unanswered: u64,
}

fn run_client(n: u64, address: std::net::SocketAddr, until: Instant, record: &Record, counts: &Mutex<Counts>) {
    let mut random = Random::new(unix_ms() ^ (n + 1) << 40);
    let mut client = None;
    while Instant::now() < until {
        if client.is_none() {
            client = Client::connect(address);
        }
        let Some(connected) = &mut client else {
            sleep_ms(50);
            continue;
        };
        let id = random.next();
        let text = format!(
            "/* kind=lookup,req={id:016x},timeout={TIMEOUT_MS},owner=retail-wallet,ms=20.0,space=32 */ SELECT a, b, c FROM sales_{}.orders",
            id % 7
        );
        let answer = connected.execute(&text, Duration::from_millis(TIMEOUT_MS + 500));
        let mut counts = lock(counts);
        counts.sent += 1;
        match &answer {
            Answer::Rows(rows) if *rows == rows_of(id) => counts.right += 1,
            Answer::Rows(rows) => {
                counts.wrong += 1;
                let made = rows_of(id);
                record.write(&format!("client: {id:016x} was served {} rows; its engine made {} rows", rows.len(), made.len()));
            }
            Answer::Error(..) => {
                counts.errors += 1;
                record.write(&format!("client: {id:016x} {}", answer.describe()));
            }
            Answer::None => {
                counts.unanswered += 1;
                record.write(&format!("client: {id:016x} no answer"));
                client = None;
            }
        }
        drop(counts);
        // Some 100 statements a second in all.
        sleep_ms(20 + random.below(20));
    }
}
