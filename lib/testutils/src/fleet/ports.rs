//! Ports of a fleet's processes, below the range that the system uses for outgoing
//! connections.
//!
//! Several test processes run fleets at the same time, and a port must stay free until its
//! daemon binds it, also across a restart. The range is therefore split into blocks, and a
//! fleet owns a block for as long as it listens on the block's first port.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

const FIRST_PORT: u16 = 10_240;
const BLOCKS: u16 = 170;
const PORTS_PER_BLOCK: u16 = 128;

/// Allocator of ports from the blocks that a fleet owns until it is dropped.
#[derive(Default)]
pub(super) struct Ports {
    blocks: Vec<Block>,
}

/// Block of consecutive ports, owned by listening on the first one.
struct Block {
    _guard: TcpListener,
    /// Next port to try.
    next: u16,
    /// First port after the block.
    end: u16,
}

impl Ports {
    /// Returns a loopback address whose port is free for TCP and UDP.
    ///
    /// # Errors
    ///
    /// Fails if every block is taken.
    pub(super) fn allocate(&mut self) -> io::Result<SocketAddr> {
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
    /// Claims the first free block, searched from a random one on.
    fn claim() -> io::Result<Block> {
        let start = rand::random_range(0..BLOCKS);
        for step in 0..BLOCKS {
            let first = FIRST_PORT + (start + step) % BLOCKS * PORTS_PER_BLOCK;
            if let Ok(guard) = TcpListener::bind(local(first)) {
                return Ok(Block { _guard: guard, next: first + 1, end: first + PORTS_PER_BLOCK });
            }
        }
        Err(io::Error::other("all port blocks are in use by other fleets"))
    }
}

/// Returns the loopback address with a port.
fn local(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
