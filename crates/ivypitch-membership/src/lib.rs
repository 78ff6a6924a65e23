//! Who of the fleet is heard, who is suspected, who is lost, and whether this gateway is the one cut off. SWIM by the
//! library `foca` finds that out; what it tells is turned into the words that decisions need. No I/O, no clock: the
//! caller brings datagrams and the time and carries away what is to be sent. `docs/custody.md` has the promises.

mod doubt;
mod members;
mod roster;
mod terms;

pub use doubt::{Doubt, Hearing};
pub use members::{Life, Members, News, State};
pub use roster::{Roster, Seat, Who};
pub use terms::Terms;
