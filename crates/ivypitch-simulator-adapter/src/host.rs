//! The instances: records become calls on the module, and its calls become records of the reply.

use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

use ivypitch_config as settings;
use ivypitch_scheduler::Scheduler;
use ivypitch_scheduler::*;
use ivypitch_types::*;

use crate::codec::{BATCH_HEADER, Batch, Cursor, EngineId, LIST_ROW, Malformed, Reply};

/// Ids of one instance and the indices that stand for them.
#[derive(Default)]
struct Names {
    engines: Vec<EngineId>,
    engine_index: HashMap<EngineId, usize>,
    /// Emptied as the module forgets its statements.
    xids: Vec<u32>,
    free: Vec<usize>,
    stmt_index: HashMap<u32, usize>,
}

impl Names {
    fn engine(&mut self, id: EngineId) -> EngineIndex {
        let next = self.engines.len();
        let ix = *self.engine_index.entry(id).or_insert(next);
        if ix == next {
            self.engines.push(id);
        }
        EngineIndex(ix)
    }

    fn arrive(&mut self, xid: u32) -> StatementIndex {
        let ix = self.free.pop().unwrap_or_else(|| {
            self.xids.push(0);
            self.xids.len() - 1
        });
        self.xids[ix] = xid;
        self.stmt_index.insert(xid, ix);
        StatementIndex(ix)
    }
}

struct Instance {
    gateway: Scheduler,
    names: Names,
}

/// Writes what the module does.
struct Wire<'a> {
    reply: &'a mut Reply,
    instance: u32,
    names: &'a mut Names,
}

impl Wire<'_> {
    fn on(&mut self, code: u8, stmt: StatementIndex) -> &mut Reply {
        let xid = self.names.xids[stmt.0];
        self.reply
            .record(code, self.instance)
            .put(&xid.to_le_bytes())
    }
}

impl Output for Wire<'_> {
    fn send(&mut self, stmt: StatementIndex, engine: EngineIndex, timeout: Nanos) {
        let engine = self.names.engines[engine.0];
        self.on(70, stmt)
            .put(&engine)
            .put(&timeout.min(i64::MAX as u64).to_le_bytes());
    }
    fn cancel(&mut self, stmt: StatementIndex, attempt: u32) {
        self.on(90, stmt).put(&(attempt as u16).to_le_bytes());
    }
    fn set_resources(&mut self, stmt: StatementIndex, grant_mb: f64, priority: u8) {
        self.on(10, stmt)
            .put(&(grant_mb as f32).to_le_bytes())
            .put(&[priority]);
    }
    fn reject(&mut self, stmt: StatementIndex, retry_after: Nanos) {
        self.on(120, stmt).put(&retry_after.to_le_bytes());
    }
    fn abort(&mut self, stmt: StatementIndex) {
        self.on(130, stmt);
    }
    fn forget(&mut self, stmt: StatementIndex) {
        let xid = self.names.xids[stmt.0];
        self.names.stmt_index.remove(&xid);
        self.names.free.push(stmt.0);
    }
    fn set_timer(&mut self, mark: u64, after: Nanos) {
        self.reply
            .record(40, self.instance)
            .put(&mark.to_le_bytes())
            .put(&after.to_le_bytes());
    }
    fn request_load_report(&mut self, engine: EngineIndex) {
        let engine = self.names.engines[engine.0];
        self.reply.record(60, self.instance).put(&engine);
    }
    fn broadcast(&mut self, bytes: &[u8]) {
        let bytes = &bytes[..bytes.len().min(256)];
        self.reply
            .record(20, self.instance)
            .put(&u32::MAX.to_le_bytes())
            .put_counted(bytes);
    }
    fn watch_endpoints(&mut self) {
        self.reply.record(100, self.instance).put(&[1]);
    }
    fn log(&mut self, line: &str) {
        self.reply
            .record(110, self.instance)
            .put_counted(line.as_bytes());
    }
}

struct ListedRow {
    engine: EngineId,
    row: EngineEndpoint,
}

/// All instances of this process, and the lists that belong to the process rather than to any of them.
#[derive(Default)]
pub struct Host {
    instances: HashMap<u32, Instance>,
    lists: HashMap<u16, Vec<ListedRow>>,
    report: Vec<f32>,
}

impl Host {
    /// Plays one batch; the reply is left in `reply`.
    pub fn play(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), Malformed> {
        reply.start();
        let mut fields = Cursor {
            bytes: &batch.body,
            at: 0,
            base: BATCH_HEADER,
            record: "record",
        };
        for _ in 0..batch.records {
            fields.record = "record";
            self.record(&mut fields, batch.clock, reply)?;
        }
        if fields.at < batch.body.len() {
            fields.record = "batch";
            return Err(fields.malformed(format!(
                "{} bytes follow the last record",
                batch.body.len() - fields.at
            )));
        }
        Ok(())
    }

    /// Calls the module. A panic there ends the instance with GIVE_IN.
    fn call(
        &mut self,
        instance: u32,
        reply: &mut Reply,
        f: impl FnOnce(&mut Scheduler, &mut Names, &mut Reply),
    ) {
        let Some(held) = self.instances.get_mut(&instance) else {
            return;
        };
        let Instance { gateway, names } = held;
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| f(gateway, names, &mut *reply))) {
            let text = panic
                .downcast_ref::<String>()
                .map(String::as_str)
                .or_else(|| panic.downcast_ref::<&str>().copied())
                .unwrap_or("panic");
            give_in(reply, instance, &format!("panic in the module: {text}"));
            self.instances.remove(&instance);
        }
    }

    fn record(&mut self, c: &mut Cursor, now: Nanos, reply: &mut Reply) -> Result<(), Malformed> {
        let code = c.u8()?;
        c.record = match code {
            10 => "BEGIN",
            20 => "PEERS_KNOWN",
            30 => "INBOUND",
            40 => "UNDER_WAY",
            50 => "DONE",
            60 => "EXPIRED",
            70 => "WAKE",
            80 => "CHECK_RESULT",
            90 => "MEMO",
            100 => "DESTROY",
            110 => "SIGNAL",
            120 => "LIST",
            _ => {
                c.at -= 1;
                return Err(c.malformed(format!("unknown record code {code}")));
            }
        };
        if code == 120 {
            return self.list(c);
        }
        let instance = c.u32()?;
        match code {
            10 => {
                let seed = c.u64()?;
                let n = c.u32()? as usize;
                match settings::read(c.take(n)?) {
                    Ok(given) => {
                        self.instances.insert(
                            instance,
                            Instance {
                                gateway: Scheduler::new(given.facts, seed, now),
                                names: Names::default(),
                            },
                        );
                        self.call(instance, reply, |gateway, names, reply| {
                            gateway.start(
                                now,
                                &mut Wire {
                                    reply,
                                    instance,
                                    names,
                                },
                            )
                        });
                    }
                    Err(what) => {
                        eprintln!(
                            "ivypitch-simulator-adapter: {}",
                            c.malformed(format!("settings: {what}"))
                        );
                        self.instances.remove(&instance);
                        give_in(reply, instance, &format!("settings: {what}"));
                    }
                }
            }
            20 => {
                let kind = c.u8()?;
                let _serial = c.u64()?;
                let page = c.u16()?;
                let kind = match kind {
                    0 => Some(EndpointUpdateKind::Delta),
                    1 => Some(EndpointUpdateKind::Full),
                    2 => Some(EndpointUpdateKind::Snapshot),
                    3 => None,
                    other => return Err(c.malformed(format!("unknown kind {other}"))),
                };
                let rows = match (&kind, self.lists.remove(&page)) {
                    (None, listed) => listed.map(|l| (page, l)),
                    (Some(_), Some(listed)) => Some((page, listed)),
                    (Some(_), None) => {
                        return Err(c.malformed(format!("no list has the number {page}")));
                    }
                };
                self.call(instance, reply, |gateway, names, reply| {
                    let listed = rows.iter().flat_map(|(_, l)| l);
                    let rows: Vec<EngineEndpoint> = listed
                        .map(|l| EngineEndpoint {
                            engine: names.engine(l.engine),
                            ..l.row
                        })
                        .collect();
                    let out = &mut Wire {
                        reply,
                        instance,
                        names,
                    };
                    match kind {
                        Some(kind) => gateway.on_endpoints_updated(now, kind, &rows, out),
                        None => gateway.on_endpoint_watch_failed(now, out),
                    }
                });
                if let Some((page, listed)) = rows {
                    self.lists.insert(page, listed);
                }
            }
            30 => {
                let xid = c.u32()?;
                let workload = c.u8()? as usize;
                let key = c.u64()?;
                let tables = c.f32()?;
                let time_left = c.u64()?;
                let attrs = c.u16()?;
                let tenant = c.u32()? as usize;
                let estimated_mb = c.f32()?;
                let cost = c.u64()?;
                let arrival = Arrival {
                    workload,
                    key,
                    table_group: settings::table_group(tables),
                    time_left,
                    is_repeat: attrs & 2 != 0,
                    tenant,
                    estimated_mb: if estimated_mb.is_finite() {
                        f64::from(estimated_mb.max(0.0))
                    } else {
                        0.0
                    },
                    estimated_work: if attrs & 1 != 0 { cost } else { 0 },
                };
                self.call(instance, reply, |gateway, names, reply| {
                    let stmt = names.arrive(xid);
                    gateway.on_statement_arrived(
                        now,
                        stmt,
                        arrival,
                        &mut Wire {
                            reply,
                            instance,
                            names,
                        },
                    );
                });
            }
            40 => {
                let xid = c.u32()?;
                let _engine = c.engine()?;
                let attempt = u32::from(c.u16()?);
                let _took = c.u64()?;
                self.on_stmt(instance, xid, reply, |gateway, stmt, _| {
                    gateway.on_response_started(now, stmt, attempt)
                });
            }
            50 => {
                let xid = c.u32()?;
                let attempt = u32::from(c.u16()?);
                let engine = c.engine()?;
                let result = c.u16()?;
                let outcome = outcome(result)
                    .ok_or_else(|| c.malformed(format!("unknown result {result}")))?;
                let took = c.u64()?;
                let closed = c.u8()? != 0;
                let cost = c.u32()?;
                let mut report = std::mem::take(&mut self.report);
                c.report(&mut report)?;
                let true_cost =
                    (cost != 0).then_some((f64::from(cost >> 12), f64::from(cost & 0xfff) * 4.0));
                self.on_stmt(instance, xid, reply, |gateway, stmt, out| {
                    let Some(&engine) = out.names.engine_index.get(&engine) else {
                        return;
                    };
                    let engine = EngineIndex(engine);
                    let ended = AttemptEnded {
                        attempt,
                        engine,
                        outcome,
                        took,
                        closed,
                        true_cost,
                        report: &report,
                    };
                    gateway.on_attempt_ended(now, stmt, &ended, out);
                });
                self.report = report;
            }
            60 => {
                let xid = c.u32()?;
                self.on_stmt(instance, xid, reply, |gateway, stmt, out| {
                    gateway.on_statement_expired(now, stmt, out)
                });
            }
            70 => {
                let mark = c.u64()?;
                self.call(instance, reply, |gateway, names, reply| {
                    gateway.on_timer(
                        now,
                        mark,
                        &mut Wire {
                            reply,
                            instance,
                            names,
                        },
                    )
                });
            }
            80 => {
                let engine = c.engine()?;
                let result = c.u16()?;
                outcome(result).ok_or_else(|| c.malformed(format!("unknown result {result}")))?;
                let _took = c.u64()?;
                let mut report = std::mem::take(&mut self.report);
                c.report(&mut report)?;
                self.call(instance, reply, |gateway, names, reply| {
                    let Some(&engine) = names.engine_index.get(&engine) else {
                        return;
                    };
                    let out = &mut Wire {
                        reply,
                        instance,
                        names,
                    };
                    gateway.on_load_report(now, EngineIndex(engine), &report, out);
                });
                self.report = report;
            }
            90 => {
                let _from = c.u32()?;
                let n = c.u16()? as usize;
                let bytes = c.take(n)?;
                self.call(instance, reply, |gateway, _, _| {
                    gateway.on_peer_message(now, bytes)
                });
            }
            100 => {
                self.instances.remove(&instance);
            }
            _ => {
                let xid = c.u32()?;
                let attempt = u32::from(c.u16()?);
                let _engine = c.engine()?;
                let topic = c.u8()?;
                let x = c.f32()?;
                let note = match topic {
                    1 => AttemptProgress::FractionDone(f64::from(x)),
                    2 => AttemptProgress::SpilledMb(f64::from(x)),
                    3 if x == 1.0 => AttemptProgress::WaitingForMemory,
                    3 => AttemptProgress::WaitingForBulkLoad,
                    other => return Err(c.malformed(format!("unknown topic {other}"))),
                };
                self.on_stmt(instance, xid, reply, |gateway, stmt, out| {
                    gateway.on_progress(now, stmt, attempt, note, out)
                });
            }
        }
        Ok(())
    }

    /// As [`Host::call`], about a statement; one that the module has forgotten is passed over.
    fn on_stmt(
        &mut self,
        instance: u32,
        xid: u32,
        reply: &mut Reply,
        f: impl FnOnce(&mut Scheduler, StatementIndex, &mut Wire),
    ) {
        self.call(instance, reply, |gateway, names, reply| {
            let Some(&stmt) = names.stmt_index.get(&xid) else {
                return;
            };
            f(
                gateway,
                StatementIndex(stmt),
                &mut Wire {
                    reply,
                    instance,
                    names,
                },
            );
        });
    }

    fn list(&mut self, c: &mut Cursor) -> Result<(), Malformed> {
        let page = c.u16()?;
        let n = c.u32()? as usize;
        if n > (c.bytes.len() - c.at) / LIST_ROW {
            return Err(c.malformed(format!("{n} entries run past the frame")));
        }
        let mut rows = Vec::with_capacity(n);
        for _ in 0..n {
            let engine = c.engine()?;
            let (zone, kind, cell) = (c.u16()?, c.u16()?, c.u16()?);
            let phase = match c.u8()? {
                0 => EngineState::Gone,
                1 => EngineState::Ready,
                2 => EngineState::Draining,
                other => return Err(c.malformed(format!("unknown phase {other}"))),
            };
            let weight = f64::from(c.f32()?);
            let started_at = c.u64()?;
            let id = engine.iter().fold(0, |id, &byte| id << 8 | u64::from(byte));
            let row = EngineEndpoint {
                engine: EngineIndex(0),
                id,
                zone,
                kind,
                cell,
                phase,
                weight,
                started_at,
            };
            rows.push(ListedRow { engine, row });
        }
        self.lists.insert(page, rows);
        Ok(())
    }
}

fn give_in(reply: &mut Reply, instance: u32, text: &str) {
    reply.record(50, instance).put_counted(text.as_bytes());
}

fn outcome(result: u16) -> Option<Outcome> {
    Some(match result {
        200 => Outcome::Completed,
        500 => Outcome::Error,
        503 => Outcome::Overloaded,
        504 => Outcome::TimedOut,
        502 => Outcome::ConnectFailed,
        598 => Outcome::Reset,
        499 => Outcome::Cancelled,
        410 => Outcome::NeverDispatched,
        _ => return None,
    })
}
