//! Gateways at the least limits of the platform, 32 MB and 256 descriptors, with peers and team
//! queues, beside clients and peers that send too much, too slowly, or what cannot be used. Each
//! test checks the memory and the answers to usual clients.

mod common;
mod departed_clients;
mod floods;
mod memory;
mod replaced_processes;
