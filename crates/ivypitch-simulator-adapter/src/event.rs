//! Decodes the simulator's events from the records of a batch.

use crate::codec::{Cursor, EngineId};
use crate::error::{DecodeError, DecodeProblem};
use crate::ids::RequestId;
use ivypitch_config::{sanitize_memory_estimate_mb, table_group_index};
use ivypitch_scheduler::{
    Arrival, AttemptProgress, EndpointUpdateKind, EngineEndpoint, EngineState,
};
use ivypitch_types::{EngineIndex, Nanos, Outcome};

/// Record codes, named as in the simulator's documentation.
mod code {
    pub const BEGIN: u8 = 10;
    pub const PEERS_KNOWN: u8 = 20;
    pub const INBOUND: u8 = 30;
    pub const UNDER_WAY: u8 = 40;
    pub const DONE: u8 = 50;
    pub const EXPIRED: u8 = 60;
    pub const WAKE: u8 = 70;
    pub const CHECK_RESULT: u8 = 80;
    pub const MEMO: u8 = 90;
    pub const DESTROY: u8 = 100;
    pub const SIGNAL: u8 = 110;
    pub const LIST: u8 = 120;
}

/// Size of an entry of an endpoint list, in bytes.
const LIST_ENTRY_BYTES: usize = 25;

/// Bit of an arrival's attributes: the estimated work is given.
const HAS_ESTIMATED_WORK: u16 = 1;
/// Bit of an arrival's attributes: the client has sent the statement before.
const IS_REPEAT: u16 = 2;

/// A measured cost is the work in ms times 4096, plus the memory in steps of 4 MB.
const COST_MEMORY_BITS: u32 = 12;
const COST_MEMORY_STEP_MB: f64 = 4.0;

/// A record of a batch.
pub(crate) enum Record<'a> {
    /// A numbered endpoint list of the process, to which endpoint updates of instances refer.
    EndpointList {
        number: u16,
        engines: Vec<ListedEngine>,
    },
    /// An event of one instance.
    Event { instance: u32, event: Event<'a> },
}

/// An entry of an endpoint list. The engine index is not set, because it differs among instances.
pub(crate) struct ListedEngine {
    pub id: EngineId,
    pub endpoint: EngineEndpoint,
}

/// The end of an attempt.
pub(crate) struct EndedAttempt {
    pub attempt: u32,
    pub engine: EngineId,
    pub outcome: Outcome,
    pub duration: Nanos,
    pub has_final_answer: bool,
    /// Work in ms and memory in MB, if reported.
    pub measured_cost: Option<(f64, f64)>,
}

/// An event of an instance, without its load report, which is decoded separately.
pub(crate) enum Event<'a> {
    Begin {
        seed: u64,
        settings: &'a [u8],
    },
    EndpointsUpdated {
        kind: EndpointUpdateKind,
        list: u16,
    },
    EndpointWatchFailed,
    StatementArrived {
        request: RequestId,
        arrival: Arrival,
    },
    ResponseStarted {
        request: RequestId,
        attempt: u32,
    },
    AttemptEnded {
        request: RequestId,
        ended: EndedAttempt,
    },
    StatementExpired {
        request: RequestId,
    },
    TimerFired {
        timer: u64,
    },
    LoadReport {
        engine: EngineId,
    },
    PeerMessage {
        message: &'a [u8],
    },
    Destroy,
    Progress {
        request: RequestId,
        attempt: u32,
        progress: AttemptProgress,
    },
}

impl<'a> Record<'a> {
    /// Decodes the next record, and the load report of its event, if it has one, into `report`.
    pub fn decode(cursor: &mut Cursor<'a>, report: &mut Vec<f32>) -> Result<Self, DecodeError> {
        cursor.set_record("record");
        let code = cursor.u8()?;
        let Some(name) = record_name(code) else {
            return Err(cursor.error_before(1, DecodeProblem::UnknownCode(code)));
        };
        cursor.set_record(name);
        if code == code::LIST {
            return decode_list(cursor);
        }
        let instance = cursor.u32()?;
        let event = match code {
            code::BEGIN => decode_begin(cursor)?,
            code::PEERS_KNOWN => decode_endpoint_update(cursor)?,
            code::INBOUND => decode_arrival(cursor)?,
            code::UNDER_WAY => decode_response_started(cursor)?,
            code::DONE => decode_attempt_ended(cursor, report)?,
            code::EXPIRED => Event::StatementExpired {
                request: RequestId(cursor.u32()?),
            },
            code::WAKE => Event::TimerFired {
                timer: cursor.u64()?,
            },
            code::CHECK_RESULT => decode_load_report(cursor, report)?,
            code::MEMO => decode_peer_message(cursor)?,
            code::DESTROY => Event::Destroy,
            code::SIGNAL => decode_progress(cursor)?,
            _ => return Err(cursor.error(DecodeProblem::UnknownCode(code))),
        };
        Ok(Record::Event { instance, event })
    }
}

fn record_name(code: u8) -> Option<&'static str> {
    Some(match code {
        code::BEGIN => "BEGIN",
        code::PEERS_KNOWN => "PEERS_KNOWN",
        code::INBOUND => "INBOUND",
        code::UNDER_WAY => "UNDER_WAY",
        code::DONE => "DONE",
        code::EXPIRED => "EXPIRED",
        code::WAKE => "WAKE",
        code::CHECK_RESULT => "CHECK_RESULT",
        code::MEMO => "MEMO",
        code::DESTROY => "DESTROY",
        code::SIGNAL => "SIGNAL",
        code::LIST => "LIST",
        _ => return None,
    })
}

fn decode_begin<'a>(cursor: &mut Cursor<'a>) -> Result<Event<'a>, DecodeError> {
    let seed = cursor.u64()?;
    let length = cursor.u32()? as usize;
    let settings = cursor.take(length)?;
    Ok(Event::Begin { seed, settings })
}

fn decode_list<'a>(cursor: &mut Cursor<'a>) -> Result<Record<'a>, DecodeError> {
    let number = cursor.u16()?;
    let count = cursor.u32()? as usize;
    if count > cursor.remaining() / LIST_ENTRY_BYTES {
        return Err(cursor.error(DecodeProblem::ListTooLong(count)));
    }
    let mut engines = Vec::with_capacity(count);
    for _ in 0..count {
        engines.push(decode_list_entry(cursor)?);
    }
    Ok(Record::EndpointList { number, engines })
}

fn decode_list_entry(cursor: &mut Cursor) -> Result<ListedEngine, DecodeError> {
    let id = cursor.engine()?;
    let zone = cursor.u16()?;
    let kind = cursor.u16()?;
    let cell = cursor.u16()?;
    let state = match cursor.u8()? {
        0 => EngineState::Gone,
        1 => EngineState::Ready,
        2 => EngineState::Draining,
        other => return Err(cursor.error(DecodeProblem::UnknownEngineState(other))),
    };
    let weight = f64::from(cursor.f32()?);
    let started_at = cursor.u64()?;
    let endpoint = EngineEndpoint {
        engine: EngineIndex::default(),
        id: id
            .iter()
            .fold(0, |number, &byte| number << 8 | u64::from(byte)),
        zone,
        kind,
        cell,
        state,
        weight,
        started_at,
    };
    Ok(ListedEngine { id, endpoint })
}

fn decode_endpoint_update<'a>(cursor: &mut Cursor<'a>) -> Result<Event<'a>, DecodeError> {
    let kind = cursor.u8()?;
    let _serial = cursor.u64()?;
    let list = cursor.u16()?;
    let kind = match kind {
        0 => EndpointUpdateKind::Delta,
        1 => EndpointUpdateKind::Full,
        2 => EndpointUpdateKind::Snapshot,
        3 => return Ok(Event::EndpointWatchFailed),
        other => return Err(cursor.error(DecodeProblem::UnknownUpdateKind(other))),
    };
    Ok(Event::EndpointsUpdated { kind, list })
}

fn decode_arrival<'a>(cursor: &mut Cursor<'a>) -> Result<Event<'a>, DecodeError> {
    let request = RequestId(cursor.u32()?);
    let workload = usize::from(cursor.u8()?);
    let key = cursor.u64()?;
    let table_group_number = cursor.f32()?;
    let time_left = cursor.u64()?;
    let attributes = cursor.u16()?;
    let tenant = cursor.u32()? as usize;
    let memory_mb = cursor.f32()?;
    let work = cursor.u64()?;
    let has_estimated_work = attributes & HAS_ESTIMATED_WORK != 0;
    let arrival = Arrival {
        workload,
        key,
        table_group: table_group_index(table_group_number),
        time_left,
        is_repeat: attributes & IS_REPEAT != 0,
        tenant,
        estimated_memory_mb: sanitize_memory_estimate_mb(memory_mb),
        estimated_work: if has_estimated_work { work } else { 0 },
    };
    Ok(Event::StatementArrived { request, arrival })
}

fn decode_response_started<'a>(cursor: &mut Cursor<'a>) -> Result<Event<'a>, DecodeError> {
    let request = RequestId(cursor.u32()?);
    let _engine = cursor.engine()?;
    let attempt = u32::from(cursor.u16()?);
    let _duration = cursor.u64()?;
    Ok(Event::ResponseStarted { request, attempt })
}

fn decode_attempt_ended<'a>(
    cursor: &mut Cursor<'a>,
    report: &mut Vec<f32>,
) -> Result<Event<'a>, DecodeError> {
    let request = RequestId(cursor.u32()?);
    let attempt = u32::from(cursor.u16()?);
    let engine = cursor.engine()?;
    let outcome = decode_outcome(cursor)?;
    let duration = cursor.u64()?;
    let has_final_answer = cursor.u8()? != 0;
    let cost = cursor.u32()?;
    cursor.load_report(report)?;
    let ended = EndedAttempt {
        attempt,
        engine,
        outcome,
        duration,
        has_final_answer,
        measured_cost: decode_measured_cost(cost),
    };
    Ok(Event::AttemptEnded { request, ended })
}

fn decode_measured_cost(cost: u32) -> Option<(f64, f64)> {
    if cost == 0 {
        return None;
    }
    let work_ms = f64::from(cost >> COST_MEMORY_BITS);
    let memory_steps = f64::from(cost & ((1 << COST_MEMORY_BITS) - 1));
    Some((work_ms, memory_steps * COST_MEMORY_STEP_MB))
}

fn decode_outcome(cursor: &mut Cursor) -> Result<Outcome, DecodeError> {
    Ok(match cursor.u16()? {
        200 => Outcome::Completed,
        500 => Outcome::Error,
        503 => Outcome::Overloaded,
        504 => Outcome::TimedOut,
        502 => Outcome::ConnectFailed,
        598 => Outcome::Reset,
        499 => Outcome::Cancelled,
        410 => Outcome::NeverDispatched,
        other => return Err(cursor.error(DecodeProblem::UnknownResult(other))),
    })
}

fn decode_load_report<'a>(
    cursor: &mut Cursor<'a>,
    report: &mut Vec<f32>,
) -> Result<Event<'a>, DecodeError> {
    let engine = cursor.engine()?;
    decode_outcome(cursor)?;
    let _duration = cursor.u64()?;
    cursor.load_report(report)?;
    Ok(Event::LoadReport { engine })
}

fn decode_peer_message<'a>(cursor: &mut Cursor<'a>) -> Result<Event<'a>, DecodeError> {
    let _from = cursor.u32()?;
    let length = usize::from(cursor.u16()?);
    let message = cursor.take(length)?;
    Ok(Event::PeerMessage { message })
}

fn decode_progress<'a>(cursor: &mut Cursor<'a>) -> Result<Event<'a>, DecodeError> {
    let request = RequestId(cursor.u32()?);
    let attempt = u32::from(cursor.u16()?);
    let _engine = cursor.engine()?;
    let topic = cursor.u8()?;
    let value = cursor.f32()?;
    let progress = match topic {
        1 => AttemptProgress::FractionDone(f64::from(value)),
        2 => AttemptProgress::SpilledMb(f64::from(value)),
        3 if value == 1.0 => AttemptProgress::WaitingForMemory,
        3 => AttemptProgress::WaitingForBulkLoad,
        other => return Err(cursor.error(DecodeProblem::UnknownTopic(other))),
    };
    Ok(Event::Progress {
        request,
        attempt,
        progress,
    })
}
