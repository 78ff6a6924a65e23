//! A process of the laboratory that answers to orders: it is written a line and writes lines. It ends as its orders
//! end, and is killed by its id as the handle goes, also by a panic.

use std::io::{self, BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::thread;

use crate::test_servers::{EventLog, ivypitch_program};

pub struct TestbedProcess {
    child: Child,
    commands: Option<ChildStdin>,
    /// All it said; `ready` before anything else.
    pub lines: EventLog<String>,
}

impl TestbedProcess {
    /// `ivypitch lab NAME`, and the first line that it is told; returns once it is ready.
    pub fn start(name: &str, first: &str) -> Result<TestbedProcess, String> {
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
        let orders = child.stdin.take();
        let mut process = TestbedProcess {
            child,
            commands: orders,
            lines: EventLog::new(),
        };
        let said = process.lines.clone();
        thread::spawn(move || {
            lines
                .into_iter()
                .flatten()
                .map_while(Result::ok)
                .for_each(|line| said.push(line));
            // Whoever waits for a word of it is not left waiting.
            said.push("ended".into());
        });
        process.send_command(first);
        let line = process
            .lines
            .wait(name, |line| line == "ready" || line == "ended");
        if line == "ready" {
            Ok(process)
        } else {
            Err(format!("{name} ended before it was ready"))
        }
    }

    pub fn send_command(&mut self, line: &str) {
        if let Some(orders) = &mut self.commands {
            let _ = writeln!(orders, "{line}");
        }
    }

    /// The order's answer: the next line that begins so, without that.
    pub fn request(&mut self, order: &str, begins: &str) -> String {
        let is = |line: &String| line.starts_with(begins);
        let before = self.lines.all().iter().filter(|line| is(line)).count();
        self.send_command(order);
        let line = self.lines.wait_for_nth(begins, before + 1, is);
        line[begins.len()..].trim().to_owned()
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

/// In such a process: each order, until they end.
pub async fn handle_commands(mut obey: impl FnMut(&str)) {
    let (told, orders) = smol::channel::unbounded();
    thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            let _ = told.try_send(line);
        }
    });
    while let Ok(line) = orders.recv().await {
        obey(&line);
    }
}
