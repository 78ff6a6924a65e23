//! Lines of a stream whose bytes arrive in pieces.

use bytes::BytesMut;

/// Received bytes, of which complete lines are taken from the front. Each byte is searched once, in
/// however many pieces a line arrives.
#[derive(Debug, Default)]
pub struct LineBuffer {
    input: BytesMut,
    /// Length of the front part that is known to have no end of a line.
    searched: usize,
}

impl LineBuffer {
    /// The buffer to which received bytes are appended.
    pub fn input_mut(&mut self) -> &mut BytesMut {
        &mut self.input
    }

    /// Removes the next complete line, with its newline; `None` if it is incomplete.
    pub fn next_line(&mut self) -> Option<BytesMut> {
        let unsearched = &self.input[self.searched..];
        let Some(position) = unsearched.iter().position(|&byte| byte == b'\n') else {
            self.searched = self.input.len();
            return None;
        };
        let line = self.input.split_to(self.searched + position + 1);
        self.searched = 0;
        Some(line)
    }

    /// The number of bytes that belong to no complete line yet, if none is left to take.
    pub fn len(&self) -> usize {
        self.input.len()
    }

    /// Whether all received bytes were taken.
    pub fn is_empty(&self) -> bool {
        self.input.is_empty()
    }
}
