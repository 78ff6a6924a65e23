//! The gateway as a process, with its configuration.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use super::discovery::{FakeDiscoveryServer, endpoint_event};
use super::waiting::{EventLog, wait_until};
use crate::log_lines;

/// Platform settings of the gateways under test.
pub const SETTINGS: &str = r#"{"balancers":1,"tick-ns":1000000,"zones":["z"],"host-types":["std"],
 "categories":[
  {"name":"lookup","goal-time-ns":300000000,"give-up-ns":20000000000,"effect":"safe","key-scope":"all","worth":1},
  {"name":"load","goal-time-ns":600000000,"give-up-ns":20000000000,"effect":"unsafe","key-scope":"all","worth":8}],
 "customers":[{"name":"acme","allowance-per-s":100000}],
 "contract":{"cold-from":0.3,"drain-grace-ns":250000000,"grace-to-answer-ns":5000000,"warm-up-ns":14000000000},
 "extra":{"cores-by-kind":[64],"dop":[1,2],"loads":[false,true],"tells-cost":true,"ranks-heeded":true,
  "progress-pace-ns":500000000},
 "load-info":{"fields":["waiting","active","x0"],"how":"piggyback"},
 "permissions":{"connect-timeout-ns":250000000,"idle-close-ns":30000000000,"max-attempts":4,"may-cancel":true,
  "most-held":20000,"retry-after":true,"max-retry-after-ns":2000000000}}"#;

/// A gateway process; killed when dropped.
pub struct Gateway {
    child: Child,
    config_path: PathBuf,
    config: String,
    pub address: SocketAddr,
    pub log: EventLog<String>,
}

impl Gateway {
    /// Starts a gateway whose configuration has the endpoint list `rows`, and waits until it serves.
    pub fn start(rows: &[String]) -> Gateway {
        Gateway::start_with("127.0.0.1:0", rows, None, 1024)
    }

    /// As `start`, with a listen address, a discovery server and a limit of open sockets.
    pub fn start_with(
        listen: &str,
        rows: &[String],
        discovery: Option<&FakeDiscoveryServer>,
        sockets: usize,
    ) -> Gateway {
        Gateway::spawn(configuration(listen, rows, discovery, sockets), None)
    }

    fn spawn(config: String, own: Option<(&str, &str)>) -> Gateway {
        let (mut child, log, config_path) = spawn_with_settings_file(&config, own);
        let line = log.wait("line of the start", |l| {
            l.contains("gateway started") || l.contains("ERROR")
        });
        let address = log_lines::field(&line, "address").and_then(|address| address.parse().ok());
        let address = address.unwrap_or_else(|| {
            let _ = child.kill();
            panic!("not started: {line}")
        });
        Gateway {
            child,
            config_path,
            config,
            address,
            log,
        }
    }

    /// Starts a gateway for these engines, with a configuration changed by `change` and operator settings as JSON.
    pub fn start_with_own_settings(
        rows: &[String],
        change: impl Fn(String) -> String,
        own: Option<&str>,
    ) -> Gateway {
        let config = change(configuration("127.0.0.1:0", rows, None, 1024));
        Gateway::spawn(config, own.map(|own| ("json", own)))
    }

    /// Starts a gateway with a complete configuration of the test.
    pub fn start_with_config(config: String) -> Gateway {
        Gateway::spawn(config, None)
    }

    /// Runs `meanwhile` while the process is stopped; the process then finds all events of that time at once.
    pub fn while_stopped<T>(&self, meanwhile: impl FnOnce() -> T) -> T {
        self.signal("STOP");
        wait_until("the stop", || {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
            stat.rsplit(") ")
                .next()
                .is_some_and(|rest| rest.starts_with('T'))
        });
        let result = meanwhile();
        self.signal("CONT");
        result
    }

    /// As `start_with_own_settings`, with a settings file of this extension.
    pub fn start_with_own_settings_file(
        rows: &[String],
        change: impl Fn(String) -> String,
        extension: &str,
        own: &str,
    ) -> Gateway {
        let config = change(configuration("127.0.0.1:0", rows, None, 1024));
        Gateway::spawn(config, Some((extension, own)))
    }

    /// Process id of the gateway.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Replaces the operator's settings file.
    pub fn write_own_settings(&self, own: &str) {
        std::fs::write(self.config_path.with_extension("own.json"), own).unwrap();
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([&format!("-{name}"), &pid])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Replaces the configuration file.
    pub fn write_config(&self, config: &str) {
        std::fs::write(&self.config_path, config).unwrap();
    }

    /// Replaces the configuration file by one with the address of this discovery server.
    pub fn write_discovery_address(&self, discovery: &FakeDiscoveryServer) {
        let (head, rest) = self.config.split_once("\"journal\":\"").unwrap();
        let tail = rest.split_once('"').unwrap().1;
        self.write_config(&format!(
            "{head}\"journal\":\"{}\"{tail}",
            discovery.address
        ));
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Configuration of a gateway for the engines of these rows.
pub fn configuration(
    listen: &str,
    rows: &[String],
    discovery: Option<&FakeDiscoveryServer>,
    sockets: usize,
) -> String {
    let discovery_address =
        discovery.map_or(String::new(), |discovery| discovery.address.to_string());
    let entry = endpoint_event(1, true, rows);
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"sockets":{sockets}}},
         "journal":"{discovery_address}","known":{{"pos":1,"entries":[{entry}]}},"settings":{SETTINGS}}}"#
    )
}

/// Path of the `ivypitch` binary: next to this test's folder, or the current executable.
pub fn ivypitch_program() -> PathBuf {
    let current = std::env::current_exe().unwrap();
    let sibling = current
        .parent()
        .and_then(Path::parent)
        .map(|folder| folder.join("ivypitch"));
    sibling
        .filter(|program| program.is_file())
        .unwrap_or(current)
}

/// Starts a gateway process; returns it with its log and the path of its configuration file.
pub fn spawn_gateway(config: &str) -> (Child, EventLog<String>, PathBuf) {
    spawn_gateway_with_settings(config, None)
}

/// As `spawn_gateway`, with operator settings as JSON.
pub fn spawn_gateway_with_settings(
    config: &str,
    own: Option<&str>,
) -> (Child, EventLog<String>, PathBuf) {
    spawn_with_settings_file(config, own.map(|own| ("json", own)))
}

/// `own`: extension and text of the operator's settings file.
fn spawn_with_settings_file(
    config: &str,
    own: Option<(&str, &str)>,
) -> (Child, EventLog<String>, PathBuf) {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let name = format!(
        "gateway-{}-{}.json",
        std::process::id(),
        NUMBER.fetch_add(1, Ordering::SeqCst)
    );
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).unwrap();
    let mut command = Command::new(ivypitch_program());
    command.arg("serve").env("PROXY_CONFIG", &path);
    let own_path = path.with_extension(format!(
        "own.{}",
        own.map_or("json", |(extension, _)| extension)
    ));
    if let Some((_, own)) = own {
        std::fs::write(&own_path, own).unwrap();
        command.env("IVYPITCH_OWN", &own_path);
    }
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let log = EventLog::new();
    let (lines, events, file) = (
        BufReader::new(child.stderr.take().unwrap()).lines(),
        log.clone(),
        path.clone(),
    );
    thread::spawn(move || {
        lines
            .map_while(Result::ok)
            .for_each(|line| events.push(line));
        let _ = std::fs::remove_file(file);
        let _ = std::fs::remove_file(own_path);
    });
    (child, log, path)
}
