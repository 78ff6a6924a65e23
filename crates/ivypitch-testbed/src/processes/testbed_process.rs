//! A child process of the testbed that reads commands as lines and prints lines. It ends at the end of its input, and is
//! killed by its id when the handle is dropped, also by a panic.

use std::io::{self, BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::thread;

use crate::test_servers::{EventLog, ivypitch_program};

/// Handle of a child process.
pub struct TestbedProcess {
    child: Child,
    commands: Option<ChildStdin>,
    /// Lines that it has printed; the first is `ready`.
    pub lines: EventLog<String>,
}

impl TestbedProcess {
    /// Starts `ivypitch lab NAME`, sends the first line and waits until the process is ready.
    pub fn start(name: &str, first_line: &str) -> Result<TestbedProcess, String> {
        let mut child = Command::new(ivypitch_program())
            .args(["lab", name])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{name}: {e}"))?;
        let lines = child
            .stdout
            .take()
            .map(|stdout| BufReader::new(stdout).lines());
        let commands = child.stdin.take();
        let mut process = TestbedProcess {
            child,
            commands,
            lines: EventLog::new(),
        };
        let received = process.lines.clone();
        thread::spawn(move || {
            lines
                .into_iter()
                .flatten()
                .map_while(Result::ok)
                .for_each(|line| received.push(line));
            // Releases threads that wait for a line of this process.
            received.push("ended".into());
        });
        process.send_command(first_line);
        let line = process
            .lines
            .wait(name, |line| line == "ready" || line == "ended");
        if line == "ready" {
            Ok(process)
        } else {
            Err(format!("{name} ended before it was ready"))
        }
    }

    /// Writes a line to the process; does nothing if it has ended.
    pub fn send_command(&mut self, line: &str) {
        if let Some(commands) = &mut self.commands {
            let _ = writeln!(commands, "{line}");
        }
    }

    /// Sends a command and returns the rest of the next line with this prefix.
    pub fn request(&mut self, command: &str, prefix: &str) -> String {
        let is_answer = |line: &String| line.starts_with(prefix);
        let before = self
            .lines
            .all()
            .iter()
            .filter(|line| is_answer(line))
            .count();
        self.send_command(command);
        let line = self.lines.wait_for_nth(prefix, before + 1, is_answer);
        line[prefix.len()..].trim().to_owned()
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().map_or(true, |ended| ended.is_some())
    }
}

impl Drop for TestbedProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// In the child process: passes each line of the input to `handle` until the input ends.
pub async fn handle_commands(mut handle: impl FnMut(&str)) {
    let (sender, commands) = smol::channel::unbounded();
    thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            let _ = sender.try_send(line);
        }
    });
    while let Ok(line) = commands.recv().await {
        handle(&line);
    }
}
