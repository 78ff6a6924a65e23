//! State that actors own or share within the process.

pub mod connections;
pub mod engines;
pub mod permits;
pub mod result_pages;
pub mod rows;
pub mod sessions;
pub mod statements;
pub mod traffic;
