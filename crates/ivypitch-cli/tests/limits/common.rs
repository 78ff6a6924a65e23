//! A gateway at the platform's least limits, and what the tests send to its ports.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use ivypitch_gateway::actors::peer_links::PROTOCOL_VERSION;
use ivypitch_gateway::wire::peer_frames::{Frame, encode_frame};
use ivypitch_membership::{
    MemberAddress, MemberList, Membership, MembershipConfig, MembershipParams,
};
use ivypitch_testbed::processes::ports::free_port;
use ivypitch_testbed::processes::usage::peak_resident_bytes;
use ivypitch_testbed::test_servers::*;
use ivypitch_types::{Incarnation, MemberId, ProcessId};
use rustix::process::{Pid, Resource, Rlimit, prlimit};

const MB: u64 = 1 << 20;
/// The platform's least limit on memory.
pub const MEMORY_BYTES: u64 = 32 * MB;
/// The platform's least limit on descriptors.
pub const DESCRIPTORS: u64 = 256;
/// Time within which usual clients want their answer.
pub const STATEMENT_TIMEOUT_MS: u64 = 3000;
/// The member that the gateway expects at [`LimitedGateway::peer`] and that the test plays.
pub const PEER: MemberId = MemberId(1);

pub struct LimitedGateway {
    pub gateway: Gateway,
    pub engine: FakeEngine,
    /// Address of its port for other gateways.
    pub peers_port: SocketAddr,
    members: MemberList,
}

fn with_least_limits(config: String) -> String {
    config.replace(
        "\"limits\":{\"sockets\":1024}",
        "\"limits\":{\"sockets\":256,\"memory_mb\":32}",
    )
}

impl LimitedGateway {
    /// Starts a gateway with one peer, team queues and one engine, which completes every statement.
    pub fn start() -> LimitedGateway {
        LimitedGateway::start_with_members(2)
    }

    /// As `start`, in a fleet of this many members, none of which runs.
    pub fn start_with_members(count: u16) -> LimitedGateway {
        let own_address = free_port();
        let members: Vec<MemberAddress> = (0..count)
            .map(|n| MemberAddress {
                name: format!("n{n}"),
                zone: 0,
                // Nothing listens on the low ports of the loopback network.
                address: match n {
                    0 => own_address,
                    _ => SocketAddr::from(([127, 1, (n >> 8) as u8, n as u8], 1)),
                },
            })
            .collect();
        let rows: Vec<String> = members
            .iter()
            .map(|m| {
                format!(
                    r#"{{"name":"{}","zone":"z","address":"{}"}}"#,
                    m.name, m.address
                )
            })
            .collect();
        let own = format!(
            r#"{{"teams":{{"show":true}},"peers":{{"gateways":[{}],"shares":{{"enabled":true}}}}}}"#,
            rows.join(",")
        );
        let engine = FakeEngine::completing();
        let gateway = Gateway::start_with_own_settings(
            &[engine.row("s-1", "in_service")],
            with_least_limits,
            Some(&own),
        );
        let pid = Pid::from_raw(gateway.process_id() as i32).unwrap();
        let limit = Rlimit {
            current: Some(DESCRIPTORS),
            maximum: Some(DESCRIPTORS),
        };
        prlimit(Some(pid), Resource::Nofile, limit).unwrap();
        let limited = LimitedGateway {
            gateway,
            engine,
            peers_port: own_address,
            members: MemberList {
                members,
                zones: vec!["z".into()],
            },
        };
        limited.wait_until_joined();
        limited
    }

    /// Waits until no statement waits for the other members, as each does after the start whose voter
    /// is another member.
    fn wait_until_joined(&self) {
        let mut client = Client::connect(&self.gateway);
        for n in 0..16 {
            let first = statement("lookup", u64::MAX - n, STATEMENT_TIMEOUT_MS);
            let answer = client.execute(&first);
            assert!(matches!(answer, Answer::Rows(_)), "{answer:?}");
        }
    }

    /// The first frame of a link from a process of the other member.
    pub fn hello(&self, incarnation: u64) -> Vec<u8> {
        let hello = Frame::Hello {
            version: PROTOCOL_VERSION,
            list_fingerprint: self.members.fingerprint(),
            member: PEER,
            incarnation: Incarnation(incarnation),
        };
        encode_frame(&hello).to_vec()
    }

    /// The first frame of a link from a process with another version of the messages.
    pub fn incompatible_hello(&self, incarnation: u64) -> Vec<u8> {
        let hello = Frame::Hello {
            version: PROTOCOL_VERSION + 1,
            list_fingerprint: self.members.fingerprint(),
            member: PEER,
            incarnation: Incarnation(incarnation),
        };
        encode_frame(&hello).to_vec()
    }

    /// The first datagram of a process with another version of the messages.
    pub fn incompatible_datagram(&self, incarnation: u64) -> Vec<u8> {
        let mut membership = Membership::new(MembershipParams {
            member_list: self.members.clone(),
            process: ProcessId {
                member: PEER,
                incarnation: Incarnation(incarnation),
            },
            protocol_version: PROTOCOL_VERSION + 1,
            config: MembershipConfig::default(),
            seed: incarnation,
            now: 0,
        });
        membership.on_timer(0);
        membership.pop_datagram().expect("a request to join").data
    }

    /// Executes statements for this long, one after the other; each must be served in its time.
    /// Returns the longest time to an answer.
    pub fn serve_usual_client_for(&self, time: Duration) -> Duration {
        let end = Instant::now() + time;
        let mut longest = Duration::ZERO;
        let mut client = None;
        for req in (1 << 40).. {
            let sent_at = Instant::now();
            if sent_at >= end {
                break;
            }
            let client = client.get_or_insert_with(|| Client::connect(&self.gateway));
            let answer = client.execute(&statement("lookup", req, STATEMENT_TIMEOUT_MS));
            assert!(matches!(answer, Answer::Rows(_)), "{answer:?}");
            longest = longest.max(sent_at.elapsed());
            thread::sleep(Duration::from_millis(20));
        }
        let limit = Duration::from_millis(STATEMENT_TIMEOUT_MS);
        assert!(longest < limit, "an answer took {longest:?}");
        longest
    }

    pub fn peak_memory_bytes(&self) -> u64 {
        peak_resident_bytes(self.gateway.process_id()).expect("the gateway has ended")
    }

    /// Checks that the process is alive and has never used more memory than its limit.
    pub fn check_memory(&self) {
        let peak = self.peak_memory_bytes();
        println!("peak memory: {:.1} MB", peak as f64 / MB as f64);
        assert!(peak <= MEMORY_BYTES, "{peak} bytes");
    }
}

/// Connects without waiting for an answer; `None`: refused or closed.
pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Writes what fits into the buffers of the connection without waiting.
pub fn write_some(stream: &mut TcpStream, bytes: &[u8]) {
    let _ = stream.set_nonblocking(true);
    let _ = stream.write(bytes);
}
