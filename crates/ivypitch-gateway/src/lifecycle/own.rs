//! The project's own settings file at start and reload. A file of records is evaluated by a short-lived child,
//! `ivypitch check --emit`, so that nothing of the evaluator stays in the server; plain JSON is read directly.

use std::path::{Path, PathBuf};
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use ivypitch_config::operator::{self, OperatorConfig};

/// A child that takes longer is given up; a usual file takes well under a tenth of a second.
const EVALUATION: Duration = Duration::from_secs(10);
/// What a checked file may hold.
const LARGEST: u64 = 16 << 20;

#[derive(Clone, Debug)]
pub struct OwnFile {
    pub path: PathBuf,
}

impl OwnFile {
    fn is_plain(&self) -> bool {
        self.path.extension().is_some_and(|ending| ending == "json")
    }

    fn plain(&self) -> Result<OperatorConfig, String> {
        let named = |what: String| format!("{}: {what}", self.path.display());
        let size = std::fs::metadata(&self.path)
            .map_err(|e| named(e.to_string()))?
            .len();
        if size > LARGEST {
            return Err(named(format!("{size} bytes, {LARGEST} at most")));
        }
        let text = std::fs::read(&self.path).map_err(|e| named(e.to_string()))?;
        read(&self.path, &text)
    }

    /// Before the program serves: waits for it.
    pub fn load(&self) -> Result<OperatorConfig, String> {
        if self.is_plain() {
            self.plain()
        } else {
            async_io::block_on(self.evaluated())
        }
    }

    /// While the program serves.
    pub async fn load_beside(&self) -> Result<OperatorConfig, String> {
        if self.is_plain() {
            self.plain()
        } else {
            self.evaluated().await
        }
    }

    async fn evaluated(&self) -> Result<OperatorConfig, String> {
        let program = std::env::current_exe().map_err(|e| format!("own program: {e}"))?;
        let child = async_process::Command::new(program)
            .args(["check", "--emit"])
            .arg(&self.path)
            .stdin(async_process::Stdio::null())
            .kill_on_drop(true)
            .output();
        let late = async {
            Timer::after(EVALUATION).await;
            Err(std::io::Error::from(std::io::ErrorKind::TimedOut))
        };
        let output = child
            .or(late)
            .await
            .map_err(|e| format!("{}: {e}", self.path.display()))?;
        if !output.status.success() {
            return Err(String::from_utf8_lossy(&output.stderr)
                .trim()
                .replace('\n', "; "));
        }
        read(&self.path, &output.stdout)
    }
}

fn read(path: &Path, text: &[u8]) -> Result<OperatorConfig, String> {
    operator::read(text).map_err(|faults| {
        let all: Vec<String> = faults
            .iter()
            .map(|fault| format!("{}: {fault}", path.display()))
            .collect();
        all.join("; ")
    })
}
