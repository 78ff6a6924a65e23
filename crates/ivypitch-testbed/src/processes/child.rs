//! A process of the laboratory that answers to orders: it is written a line and writes lines. It ends as its orders
//! end, and is killed by its id as the handle goes, also by a panic.

use std::io::{self, BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::thread;

use crate::stand_ins::{Seen, program};

pub struct LabProcess {
    child: Child,
    orders: Option<ChildStdin>,
    /// All it said; `ready` before anything else.
    pub lines: Seen<String>,
}

impl LabProcess {
    /// `ivypitch lab NAME`, and the first line that it is told; returns once it is ready.
    pub fn start(name: &str, first: &str) -> Result<LabProcess, String> {
        let mut child = Command::new(program())
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
        let mut process = LabProcess {
            child,
            orders,
            lines: Seen::new(),
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
        process.order(first);
        let line = process
            .lines
            .wait(name, |line| line == "ready" || line == "ended");
        if line == "ready" {
            Ok(process)
        } else {
            Err(format!("{name} ended before it was ready"))
        }
    }

    pub fn order(&mut self, line: &str) {
        if let Some(orders) = &mut self.orders {
            let _ = writeln!(orders, "{line}");
        }
    }

    /// The order's answer: the next line that begins so, without that.
    pub fn ask(&mut self, order: &str, begins: &str) -> String {
        let is = |line: &String| line.starts_with(begins);
        let before = self.lines.all().iter().filter(|line| is(line)).count();
        self.order(order);
        let line = self.lines.wait_for(begins, before + 1, is);
        line[begins.len()..].trim().to_owned()
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().map_or(true, |ended| ended.is_some())
    }
}

impl Drop for LabProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// In such a process: each order, until they end.
pub async fn heed(mut obey: impl FnMut(&str)) {
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
