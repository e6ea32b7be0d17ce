//! Receives datagrams and bounds when they arrived.
//!
//! A process that was suspended, or got no processor time, finds datagrams in its socket that may have arrived at any
//! moment since it last looked. What they say of ages must not be taken as said just now.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{net::UdpSocket, time::timeout};

use crate::clock::{Clock, System};

/// Longest time between two looks at the socket, by which the bound of a datagram's arrival may be too early.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Receiver of a UDP socket's datagrams.
#[derive(Debug)]
pub struct Inbox {
    socket: Rc<UdpSocket>,
    clock: System,
    buffer: Vec<u8>,
    /// Time up to which no datagram had arrived that was not received.
    empty_at: Duration,
    /// Whether the socket may hold a datagram; otherwise the runtime doesn't ask it.
    is_readable: bool,
}

/// Datagram with its sender.
#[derive(Debug)]
pub struct Datagram<'a> {
    /// Content.
    pub bytes: &'a [u8],
    /// Address of the sender.
    pub from: SocketAddr,
    /// Time of the receiver's clock after which the datagram arrived.
    pub arrived_after: Duration,
}

impl Inbox {
    /// Creates a receiver for datagrams of up to `max_bytes` bytes; longer ones are cut off.
    pub fn new(socket: Rc<UdpSocket>, clock: System, max_bytes: usize) -> Self {
        Self {
            socket,
            clock,
            buffer: vec![0; max_bytes],
            empty_at: Duration::ZERO,
            is_readable: false,
        }
    }

    /// Receives the next datagram.
    ///
    /// # Errors
    /// Returns the error of the socket; it can still be used.
    pub async fn receive(&mut self) -> io::Result<Datagram<'_>> {
        let (length, from) = loop {
            if !self.is_readable {
                self.wait().await?;
            }
            let looked_at = self.clock.now();
            match self.socket.try_recv_from(&mut self.buffer) {
                Ok(received) => break received,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.is_readable = false;
                    self.empty_at = looked_at;
                }
                Err(error) => return Err(error),
            }
        };
        Ok(Datagram {
            bytes: &self.buffer[..length],
            from,
            arrived_after: self.empty_at,
        })
    }

    /// Waits until the socket may hold a datagram.
    async fn wait(&mut self) -> io::Result<()> {
        loop {
            let waits_from = self.clock.now();
            match timeout(LOOK_INTERVAL, self.socket.readable()).await {
                Ok(readable) => {
                    self.is_readable = true;
                    return readable;
                }
                // The timer fires after a look at all sockets. The process may have stood still since that look, so the
                // current time is no bound.
                Err(_) => self.empty_at = waits_from + LOOK_INTERVAL,
            }
        }
    }
}
