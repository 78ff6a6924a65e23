//! Who may act for a statement that is in hand somewhere in the fleet. When its gateway is lost exactly one other
//! takes it over: keeps its execution alive, fetches its end, has the answer ready for the client that comes back.
//! No I/O, no clock, no threads: the caller brings messages and the time, and carries out what is asked for.
//! Promises, ways weighed and the argument why nothing runs twice: `docs/custody.md`.

mod custody;
mod kept;
mod ledger;
mod message;
mod witnesses;

pub use custody::{Arrived, Custody, Denied, Leave, Output, Policy, Stage, Terms, Totals};
pub use kept::Kept;
pub use ledger::{Copy as EntryCopy, Ledger, Refusal};
pub use message::{Answered, End, Epoch, Facts, Grant, Id, Memory, Message, Told, VERSION, Word};
pub use witnesses::Witnesses;
