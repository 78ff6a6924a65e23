//! Twenty and more gateways as processes of their own that share nothing but their engines.
//! Verdicts come from what the engines and the clients counted.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ivypitch_testbed::test_servers::*;

const GATEWAYS: usize = 24;
/// Of the fleets of which a few send most, every so many gateways have one with so many clients;
/// the others' rest.
const FEW: usize = 8;
const MOST_CLIENTS: usize = 16;
const REST: Duration = Duration::from_millis(250);
/// As the settings below have it: an engine of 8 cores begins at 0.3 of its pace, and falls over
/// when it is sent 2.5 times what it can do for a second.
const COLD: &str = r#""cold-from":0.3,"overload-factor":2.5,"tip-after-ns":1000000000,"#;
const WINDOW: Duration = Duration::from_secs(1);
const ALLOWED_WORK: f64 = 2.5 * 8.0 * 0.3;
/// Nine lookups of 20 ms and a load of 3 s: calls of 0.318 s in the mean.
const LOOKUP_MS: f64 = 20.0;
const LOAD_MS: f64 = 3000.0;
const MEAN: f64 = (9.0 * LOOKUP_MS + LOAD_MS) / 10.0 / 1000.0;

fn member(config: String, gateways: usize, me: usize) -> String {
    let config = config.replace(
        "\"balancers\":1",
        &format!("\"balancers\":{gateways},\"me\":{me}"),
    );
    config
        .replace("\"cold-from\":0.3,", COLD)
        .replace("\"cores-by-kind\":[64]", "\"cores-by-kind\":[8]")
}

/// Ends all it is sent at once, and tells what it cost.
fn engine(arrived: Option<Arc<Mutex<Vec<Instant>>>>) -> FakeEngine {
    FakeEngine::start(move |call, _| {
        if call.has_method("DELETE") {
            return response(204, "", "");
        }
        if let Some(arrived) = arrived.as_ref().filter(|_| call.has_method("POST")) {
            arrived.lock().unwrap().push(Instant::now());
        }
        let work = if call.header("Via-Class") == Some("load") {
            LOAD_MS
        } else {
            LOOKUP_MS
        };
        response(
            200,
            &format!("Page-Count: 1\r\nWork-Ms: {work}\r\nPeak-Mb: 1\r\n"),
            "a\tb\tc\n",
        )
    })
}

/// Clients of one gateway that ask without end, each this long after an answer, and come again at
/// once where it has gone.
fn clients(
    at: SocketAddr,
    (count, rest): (usize, Duration),
    number: &Arc<AtomicU64>,
    over: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<usize>> {
    let one = || {
        let (number, over) = (number.clone(), over.clone());
        thread::spawn(move || {
            let mut answered = 0;
            while !over.load(Ordering::Relaxed) {
                let Some(mut client) = Client::try_connect(at) else {
                    thread::sleep(Duration::from_millis(5));
                    continue;
                };
                while !over.load(Ordering::Relaxed) {
                    let req = number.fetch_add(1, Ordering::Relaxed);
                    let (kind, ms) = if req % 10 == 0 {
                        ("load", LOAD_MS)
                    } else {
                        ("lookup", LOOKUP_MS)
                    };
                    let text =
                        statement(kind, req, 20_000).replace("ms=20.0", &format!("ms={ms:.1}"));
                    match client.try_execute(&text) {
                        Some(Answer::Rows(_)) => answered += 1,
                        Some(Answer::Error(..)) => {}
                        Some(Answer::Closed) | None => break,
                    }
                    thread::sleep(rest);
                }
            }
            answered
        })
    };
    (0..count).map(|_| one()).collect()
}

#[test]
fn a_cold_engine_gets_no_more_than_its_budget_of_calls_from_all_gateways_also_as_half_begin_anew() {
    cold_engine(GATEWAYS, |_| (2, Duration::ZERO));
}

#[test]
fn nor_from_thirty() {
    cold_engine(30, |_| (2, Duration::ZERO));
}

#[test]
fn nor_where_a_few_send_most() {
    let few = |me| {
        if me % FEW == 1 {
            (MOST_CLIENTS, Duration::ZERO)
        } else {
            (1, REST)
        }
    };
    cold_engine(GATEWAYS, few);
    cold_engine(30, few);
}

/// So many gateways with so many clients each; every second one is killed in between and begins
/// anew.
fn cold_engine(count: usize, load: impl Fn(usize) -> (usize, Duration)) {
    let arrived = Arc::new(Mutex::new(Vec::new()));
    let (warm, cold) = (engine(None), engine(Some(arrived.clone())));
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    // It starts once all gateways are there.
    let started = unix + Duration::from_secs(4);
    let list = [
        warm.row("s-1", "in_service"),
        row_at(
            cold.address,
            "s-2",
            "in_service",
            started.as_millis() as u64,
        ),
    ];
    let config =
        |listen: &str, me: usize| member(configuration(listen, &list, None, 1024), count, me);
    let mut gateways: Vec<Gateway> = (0..count)
        .map(|me| Gateway::start_with_config(config("127.0.0.1:0", me)))
        .collect();
    let until_started =
        started.saturating_sub(SystemTime::now().duration_since(UNIX_EPOCH).unwrap());
    let began = Instant::now() + until_started;
    let (number, over) = (
        Arc::new(AtomicU64::new(1)),
        Arc::new(AtomicBool::new(false)),
    );
    let running: Vec<_> = (0..count)
        .flat_map(|me| clients(gateways[me].address, load(me), &number, &over))
        .collect();
    wait_until("two seconds of the cold engine", || {
        began.elapsed() > Duration::from_secs(2)
    });
    for me in (0..count).step_by(2) {
        let address = gateways[me].address.to_string();
        gateways[me].kill();
        gateways[me] = Gateway::start_with_config(config(&address, me));
    }
    wait_until("five seconds of the cold engine", || {
        began.elapsed() > Duration::from_secs(5)
    });
    over.store(true, Ordering::Relaxed);
    let answered: usize = running
        .into_iter()
        .map(|client| client.join().unwrap())
        .sum();
    let arrived: Vec<Instant> = arrived
        .lock()
        .unwrap()
        .iter()
        .copied()
        .filter(|at| *at >= began)
        .collect();
    let in_window = |from: &Instant| {
        arrived
            .iter()
            .filter(|at| *at >= from && **at < *from + WINDOW)
            .count()
    };
    let most = arrived.iter().map(in_window).max().unwrap_or(0);
    let calls = ALLOWED_WORK / MEAN;
    let bound = calls + 2.0 * calls.sqrt() + 2.0;
    println!(
        "{count} gateways: {answered} answered; cold: {} calls, {most} in the worst second, {bound:.1} at most",
        arrived.len()
    );
    assert!(
        most as f64 <= bound,
        "{most} calls in a second, {bound:.1} at most"
    );
    assert!(arrived.len() > 20, "it is used: {}", arrived.len());
}

#[test]
fn nine_in_ten_are_ready_within_ten_seconds_while_discovery_is_down_and_clients_come_at_once() {
    let engine = engine(None);
    let (_held, journal) = refusing_address();
    let list = [engine.row("s-1", "in_service")];
    let config = |listen: &str, me: usize| {
        let config = member(configuration(listen, &list, None, 256), GATEWAYS, me);
        config.replace("\"journal\":\"\"", &format!("\"journal\":\"{journal}\""))
    };
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|me| Gateway::start_with_config(config("127.0.0.1:0", me)))
        .collect();
    let (number, over) = (
        Arc::new(AtomicU64::new(1)),
        Arc::new(AtomicBool::new(false)),
    );
    let running: Vec<_> = gateways
        .iter()
        .flat_map(|g| clients(g.address, (4, Duration::ZERO), &number, &over))
        .collect();
    // Half are told to end, half are killed; the next process is there at once, at the same
    // address.
    let ready: Vec<Duration> = thread::scope(|scope| {
        let mut all = Vec::new();
        for (me, gateway) in gateways.iter_mut().enumerate() {
            let config = config(&gateway.address.to_string(), me);
            all.push(scope.spawn(move || {
                let began = Instant::now();
                let mut next = match me % 2 {
                    0 => {
                        gateway.kill();
                        Gateway::start_with_config(config)
                    }
                    _ => {
                        gateway.terminate();
                        Gateway::start_with_config(config)
                    }
                };
                let mut client = Client::connect(&next);
                assert_eq!(client.ping(), Answer::Rows(vec![]));
                let took = began.elapsed();
                std::mem::swap(gateway, &mut next);
                if me % 2 == 1 {
                    assert_eq!(next.exit_code(), Some(0));
                }
                took
            }));
        }
        all.into_iter().map(|one| one.join().unwrap()).collect()
    });
    over.store(true, Ordering::Relaxed);
    let answered: usize = running
        .into_iter()
        .map(|client| client.join().unwrap())
        .sum();
    let late = ready
        .iter()
        .filter(|took| **took > Duration::from_secs(10))
        .count();
    println!(
        "{answered} answered; the last was ready after {:?}",
        ready.iter().max().unwrap()
    );
    assert!(
        late * 10 <= GATEWAYS,
        "{late} of {GATEWAYS} were late: {ready:?}"
    );
}
