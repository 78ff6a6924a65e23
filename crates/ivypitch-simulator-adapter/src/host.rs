//! Hosts the simulator's instances: each event is a call of the scheduler of one instance.

use crate::action::{WireOutput, report_failure};
use crate::codec::{BATCH_HEADER_BYTES, Batch, Cursor, Reply};
use crate::error::{DecodeError, DecodeProblem};
use crate::event::{EndedAttempt, Event, ListedEngine, Record};
use crate::ids::{Ids, RequestId};
use ivypitch_scheduler::{AttemptEnded, EngineEndpoint, Scheduler};
use ivypitch_types::{Nanos, StatementIndex};
use std::any::Any;
use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

struct Instance {
    scheduler: Scheduler,
    ids: Ids,
}

/// The running instances, by the simulator's instance number.
#[derive(Default)]
struct Instances(HashMap<u32, Instance>);

impl Instances {
    /// Calls the scheduler of an instance; does nothing if the instance is not running. A panic
    /// ends the instance with a `GIVE_IN`.
    fn call(
        &mut self,
        instance: u32,
        reply: &mut Reply,
        call: impl FnOnce(&mut Scheduler, &mut WireOutput),
    ) {
        let Some(Instance { scheduler, ids }) = self.0.get_mut(&instance) else {
            return;
        };
        let mut output = WireOutput {
            reply: &mut *reply,
            instance,
            ids,
        };
        let result = catch_unwind(AssertUnwindSafe(|| call(scheduler, &mut output)));
        if let Err(panic) = result {
            let text = panic_text(panic.as_ref());
            report_failure(reply, instance, &format!("panic in the module: {text}"));
            self.0.remove(&instance);
        }
    }

    /// As [`Self::call`], for a statement; does nothing if the scheduler has dropped the statement.
    fn call_about(
        &mut self,
        instance: u32,
        request: RequestId,
        reply: &mut Reply,
        call: impl FnOnce(&mut Scheduler, StatementIndex, &mut WireOutput),
    ) {
        self.call(instance, reply, |scheduler, output| {
            if let Some(statement) = output.ids.statement_index(request) {
                call(scheduler, statement, output);
            }
        });
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> &str {
    panic
        .downcast_ref::<String>()
        .map(String::as_str)
        .or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic")
}

/// All instances of this process, and the endpoint lists, which all instances share.
#[derive(Default)]
pub struct Host {
    instances: Instances,
    lists: HashMap<u16, Vec<ListedEngine>>,
    /// Load report of the event being handled.
    report: Vec<f32>,
}

impl Host {
    /// Handles the events of a batch and writes the actions to `reply`.
    ///
    /// # Errors
    ///
    /// A record cannot be decoded. The events before it have been handled.
    pub fn handle_batch(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), DecodeError> {
        reply.start();
        let mut cursor = Cursor::new(&batch.body, BATCH_HEADER_BYTES, "record");
        for _ in 0..batch.records {
            match Record::decode(&mut cursor, &mut self.report)? {
                Record::EndpointList { number, engines } => {
                    self.lists.insert(number, engines);
                }
                Record::Event { instance, event } => {
                    self.on_event(batch.clock, instance, event, &cursor, reply)?;
                }
            }
        }
        if cursor.remaining() > 0 {
            cursor.set_record("batch");
            return Err(cursor.error(DecodeProblem::TrailingBytes(cursor.remaining())));
        }
        Ok(())
    }

    /// Handles an event. Errors have the position of the cursor, which is after the event.
    fn on_event(
        &mut self,
        now: Nanos,
        instance: u32,
        event: Event,
        cursor: &Cursor,
        reply: &mut Reply,
    ) -> Result<(), DecodeError> {
        let instances = &mut self.instances;
        match event {
            Event::Begin { seed, settings } => {
                let started = create_instance(now, seed, settings);
                self.on_begin(now, instance, started.map_err(|p| cursor.error(p)), reply);
            }
            Event::EndpointsUpdated { kind, list } => {
                let Some(engines) = self.lists.get(&list) else {
                    return Err(cursor.error(DecodeProblem::UnknownList(list)));
                };
                instances.call(instance, reply, |scheduler, output| {
                    let endpoints = resolve_endpoints(engines, output.ids);
                    scheduler.on_endpoints_updated(now, kind, &endpoints, output);
                });
            }
            Event::EndpointWatchFailed => instances.call(instance, reply, |scheduler, output| {
                scheduler.on_endpoint_watch_failed(now, output);
            }),
            Event::StatementArrived { request, arrival } => {
                instances.call(instance, reply, |scheduler, output| {
                    let statement = output.ids.insert_statement(request);
                    scheduler.on_statement_arrived(now, statement, arrival, output);
                });
            }
            Event::ResponseStarted { request, attempt } => {
                instances.call_about(instance, request, reply, |scheduler, statement, _| {
                    scheduler.on_response_started(now, statement, attempt);
                });
            }
            Event::AttemptEnded { request, ended } => {
                let report = &self.report;
                instances.call_about(instance, request, reply, |scheduler, statement, output| {
                    end_attempt(now, scheduler, statement, &ended, report, output);
                });
            }
            Event::StatementExpired { request } => {
                instances.call_about(instance, request, reply, |scheduler, statement, output| {
                    scheduler.on_statement_expired(now, statement, output);
                });
            }
            Event::TimerFired { timer } => instances.call(instance, reply, |scheduler, output| {
                scheduler.on_timer(now, timer, output);
            }),
            Event::LoadReport { engine } => {
                let report = &self.report;
                instances.call(instance, reply, |scheduler, output| {
                    if let Some(engine) = output.ids.engine_index(&engine) {
                        scheduler.on_load_report(now, engine, report, output);
                    }
                });
            }
            Event::PeerMessage { message } => instances.call(instance, reply, |scheduler, _| {
                scheduler.on_peer_message(now, message);
            }),
            Event::Destroy => {
                instances.0.remove(&instance);
            }
            Event::Progress {
                request,
                attempt,
                progress,
            } => {
                instances.call_about(instance, request, reply, |scheduler, statement, output| {
                    scheduler.on_progress(now, statement, attempt, progress, output);
                });
            }
        }
        Ok(())
    }

    /// Starts an instance, in place of any of the same number. Invalid settings end this instance
    /// with a `GIVE_IN`; the others keep running.
    fn on_begin(
        &mut self,
        now: Nanos,
        instance: u32,
        started: Result<Instance, DecodeError>,
        reply: &mut Reply,
    ) {
        match started {
            Ok(started) => {
                self.instances.0.insert(instance, started);
                self.instances.call(instance, reply, |scheduler, output| {
                    scheduler.start(now, output);
                });
            }
            Err(error) => {
                eprintln!("ivypitch-simulator-adapter: {error}");
                self.instances.0.remove(&instance);
                report_failure(reply, instance, &error.problem.to_string());
            }
        }
    }
}

fn create_instance(now: Nanos, seed: u64, settings: &[u8]) -> Result<Instance, DecodeProblem> {
    let config = ivypitch_config::read_deployment(settings).map_err(DecodeProblem::Settings)?;
    Ok(Instance {
        scheduler: Scheduler::new(config.scheduler, seed, now),
        ids: Ids::default(),
    })
}

/// Returns the endpoints of a list, with the engine indices of one instance.
fn resolve_endpoints(engines: &[ListedEngine], ids: &mut Ids) -> Vec<EngineEndpoint> {
    engines
        .iter()
        .map(|listed| EngineEndpoint {
            engine: ids.engine_index_or_insert(listed.id),
            ..listed.endpoint
        })
        .collect()
}

/// Reports the end of an attempt to the scheduler, unless the instance does not know the engine.
fn end_attempt(
    now: Nanos,
    scheduler: &mut Scheduler,
    statement: StatementIndex,
    ended: &EndedAttempt,
    report: &[f32],
    output: &mut WireOutput,
) {
    let Some(engine) = output.ids.engine_index(&ended.engine) else {
        return;
    };
    let ended = AttemptEnded {
        attempt: ended.attempt,
        engine,
        outcome: ended.outcome,
        duration: ended.duration,
        has_final_answer: ended.has_final_answer,
        measured_cost: ended.measured_cost,
        load_report: report,
    };
    scheduler.on_attempt_ended(now, statement, &ended, output);
}
