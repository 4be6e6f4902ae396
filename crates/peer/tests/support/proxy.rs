//! A TCP proxy in front of one instance, which can stop forwarding while its
//! connections stay open.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf},
    net::{TcpListener, TcpStream},
    sync::watch,
};

pub struct Proxy {
    frozen: watch::Sender<bool>,
}

impl Proxy {
    /// Forwards every connection accepted by `listener` to `to`.
    pub fn open(listener: TcpListener, to: SocketAddr) -> Self {
        let (frozen, state) = watch::channel(false);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = TcpStream::connect(to).await else { continue };
                let (near_in, near_out) = tokio::io::split(near);
                let (far_in, far_out) = tokio::io::split(far);
                tokio::spawn(forward(near_in, far_out, state.clone()));
                tokio::spawn(forward(far_in, near_out, state.clone()));
            }
        });
        Self { frozen }
    }

    pub fn set_frozen(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }
}

async fn forward(mut from: ReadHalf<TcpStream>, mut to: WriteHalf<TcpStream>, mut frozen: watch::Receiver<bool>) {
    let mut buffer = [0; 8 << 10];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        if frozen.wait_for(|frozen| !frozen).await.is_err() || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
