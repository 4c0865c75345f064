//! Links pass on how a connection ended: by a regular close, or by a reset.

use std::io::ErrorKind;
use std::time::Duration;

use rosemarymoor_testutils::fault_proxy::Link;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What ends a connection in the middle of what its target sends.
#[derive(Clone, Copy)]
enum End {
    TargetCloses,
    TargetResets,
    LinkResets,
}

/// Returns how a client's reading ends after it got the first byte over a link.
async fn read_to_end(end: End) -> Result<usize, ErrorKind> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = Link::bind_tcp(listener.local_addr().unwrap()).await.unwrap();
    let mut client = TcpStream::connect(link.address()).await.unwrap();
    let (mut target, _) = listener.accept().await.unwrap();
    target.write_all(b"x").await.unwrap();
    let mut first = [0];
    client.read_exact(&mut first).await.unwrap();
    match end {
        End::TargetCloses => drop(target),
        End::TargetResets => {
            rustix::net::sockopt::set_socket_linger(&target, Some(Duration::ZERO)).unwrap();
            drop(target);
        }
        End::LinkResets => link.reset(),
    }
    client.read_to_end(&mut Vec::new()).await.map_err(|err| err.kind())
}

/// Names each way in which a connection ends.
macro_rules! ends {
    ($($case:ident: $end:expr => $expected:expr;)*) => {
        $(#[tokio::test]
        async fn $case() {
            assert_eq!(read_to_end($end).await, $expected);
        })*
    };
}

ends! {
    a_regular_close_stays_one: End::TargetCloses => Ok(0);
    a_reset_of_the_target_is_no_regular_close: End::TargetResets => Err(ErrorKind::ConnectionReset);
    a_reset_of_the_link_is_no_regular_close: End::LinkResets => Err(ErrorKind::ConnectionReset);
}
