//! Case 9: clients that close their connections while their loads wait for an engine, at a gateway with peers.

use standins::*;
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// No gateway votes for the longest statement timeout and 5 s more after the start of a whole fleet.
const FLEET_STARTED_MS: u64 = 33_000;
/// The engines turn new statements away as full for this time.
const FULL_MS: u64 = 600;
/// A client leaves this long after it has sent its load.
const LEAVES_AFTER_MS: u64 = 300;
/// An attempt that begins later than this after its client has gone is a break; 50 ms more on sockets.
const GONE_MS: u64 = 100 + 50;
const ROUNDS: usize = 5;
const CLIENTS: usize = 8;

fn main() {
    let record = Record::create(&case_folder());
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
    let gateways: Vec<Gateway> = (0..3)
        .map(|n| {
            Gateway::start(
                &Configuration {
                    name: names[n],
                    address: free_address(),
                    journal: journals[n].address,
                    known: journals[n].known(),
                    settings: KANDY_MERCHANT.replace("ME", &n.to_string()),
                    own: Some(own.clone()),
                },
                &logs,
            )
        })
        .collect();
    record.say(&format!("three gateways are ready; waiting {FLEET_STARTED_MS} ms, so that they vote"));
    sleep_ms(FLEET_STARTED_MS);

    // When each client closed its connection, by its statement's id.
    let left: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let served: Arc<Mutex<usize>> = Arc::default();
    for round in 0..ROUNDS {
        engines.iter().for_each(|engine| engine.is_full.store(true, Ordering::SeqCst));
        record.line("all engines are full");
        let mut clients = Vec::new();
        for n in 0..CLIENTS {
            let address = gateways[0].address;
            let (record, left, served) = (record.clone(), left.clone(), served.clone());
            clients.push(thread::spawn(move || {
                let Ok(mut client) = Client::connect(address) else {
                    return;
                };
                let id = new_id();
                let group = (round * CLIENTS + n) as u32;
                if client.send(&statement("settle-load", &id, 20_000, 1_000, group, "")).is_err() {
                    return;
                }
                record.line(&format!("client sends settle-load {id}"));
                let wait = if has_trouble() { LEAVES_AFTER_MS } else { 20_500 };
                let answer = client.answer(Duration::from_millis(wait));
                record.line(&format!("client has for settle-load {id}: {}", answer.short()));
                *served.lock().unwrap() += usize::from(matches!(answer, Answer::Rows(_)));
                if answer == Answer::Nothing {
                    client.close();
                    left.lock().unwrap().insert(id.clone(), unix_ms());
                    record.line(&format!("client of settle-load {id} closes its connection"));
                }
            }));
        }
        sleep_ms(FULL_MS);
        engines.iter().for_each(|engine| engine.is_full.store(false, Ordering::SeqCst));
        record.line("the engines take statements again");
        for client in clients {
            let _ = client.join();
        }
        sleep_ms(5_000);
    }

    // The rule: no attempt begins more than 0.1 s after its client has gone.
    let (left, starts) = (left.lock().unwrap(), starts.lock().unwrap());
    let mut broken = 0;
    for start in starts.iter() {
        if let Some(&left_at) = left.get(&start.id)
            && start.first_byte_at > left_at + GONE_MS
        {
            broken += 1;
            record.say(&format!(
                "GONE {}: its client closed at {}, {} {} it at {}, {} ms later, until {}",
                start.id,
                record.at(left_at),
                start.engine,
                if start.turned_away { "turned away" } else { "ran" },
                record.at(start.first_byte_at),
                start.first_byte_at - left_at,
                record.at(start.ended_at),
            ));
        }
    }
    let all = ROUNDS * CLIENTS;
    record.say(&format!(
        "{all} loads, {} clients left, {} served; {broken} attempts began after their clients had gone",
        left.len(),
        served.lock().unwrap()
    ));
    if has_trouble() && left.len() < all / 2 || !has_trouble() && *served.lock().unwrap() < all / 2 {
        cannot_run("the loads did not wait for an engine as planned");
    }
    drop(gateways);
    std::process::exit(i32::from(broken > 0));
}
