//! Plays ivypitch's decisions on the simulator's wire: batches on standard input, replies on standard output.

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

use ivypitch_simulator_adapter::codec::{Reply, read_batch};
use ivypitch_simulator_adapter::host::Host;

fn serve() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 20, io::stdout().lock());
    let mut host = Host::default();
    let mut reply = Reply::default();
    while let Some(batch) = read_batch(&mut input)
        .map_err(|e| e.to_string())?
        .map_err(|e| e.to_string())?
    {
        host.play(&batch, &mut reply).map_err(|e| e.to_string())?;
        output
            .write_all(reply.finish(batch.number))
            .map_err(|e| e.to_string())?;
        output.flush().map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn main() -> ExitCode {
    // A panic in the module is reported on the wire; standard error gets one plain line of it.
    std::panic::set_hook(Box::new(|panic| {
        eprintln!(
            "ivypitch-simulator-adapter: {}",
            panic.to_string().replace('\n', " ")
        )
    }));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("ivypitch-simulator-adapter: {what}");
            ExitCode::FAILURE
        }
    }
}
