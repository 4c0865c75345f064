//! Ports of a fleet's processes, below the range of outgoing connections.
//!
//! Fleets of several test processes run at the same time and a port must stay
//! free until its daemon binds it, also across a restart. So the range is cut
//! into blocks, and a fleet owns a block as long as it listens on its first port.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

const FIRST_PORT: u16 = 10_240;
const BLOCKS: u16 = 170;
const PORTS_PER_BLOCK: u16 = 128;

/// Blocks that a fleet owns until it is dropped.
#[derive(Default)]
pub(super) struct Ports {
    blocks: Vec<Block>,
}

struct Block {
    _guard: TcpListener,
    next: u16,
    end: u16,
}

impl Ports {
    /// Address with a port that is free for TCP and UDP.
    pub(super) fn take(&mut self) -> io::Result<SocketAddr> {
        loop {
            let Some(block) = self.blocks.last_mut().filter(|block| block.next < block.end) else {
                self.blocks.push(Block::claim()?);
                continue;
            };
            let address = local(block.next);
            block.next += 1;
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Ok(address);
            }
        }
    }
}

impl Block {
    fn claim() -> io::Result<Block> {
        let start = rand::random_range(0..BLOCKS);
        for step in 0..BLOCKS {
            let first = FIRST_PORT + (start + step) % BLOCKS * PORTS_PER_BLOCK;
            if let Ok(guard) = TcpListener::bind(local(first)) {
                return Ok(Block { _guard: guard, next: first + 1, end: first + PORTS_PER_BLOCK });
            }
        }
        Err(io::Error::other("every block of ports is taken"))
    }
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
