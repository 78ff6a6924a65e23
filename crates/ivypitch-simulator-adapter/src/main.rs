//! Runs ivypitch's scheduler for the simulator, with batches on standard input and replies on
//! standard output.

use ivypitch_simulator_adapter::codec::{Reply, read_batch};
use ivypitch_simulator_adapter::error::InputError;
use ivypitch_simulator_adapter::host::Host;
use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

const IO_BUFFER_BYTES: usize = 1 << 20;

fn serve() -> Result<(), InputError> {
    let mut input = BufReader::with_capacity(IO_BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(IO_BUFFER_BYTES, io::stdout().lock());
    let mut host = Host::default();
    let mut reply = Reply::default();
    while let Some(batch) = read_batch(&mut input)? {
        host.handle_batch(&batch, &mut reply)?;
        output.write_all(reply.finish(batch.sequence_number))?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    // The host reports a panic in the scheduler on the wire; standard error gets it as one line.
    std::panic::set_hook(Box::new(|panic| {
        let line = panic.to_string().replace('\n', " ");
        eprintln!("ivypitch-simulator-adapter: {line}");
    }));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ivypitch-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
