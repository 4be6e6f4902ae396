//! A sound server: it runs each request for some milliseconds and answers with its digest.

use std::{
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::http;

#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    pub id: String,
    /// Ids of the requests that were run.
    pub ran: Arc<Mutex<Vec<String>>>,
}

impl Server {
    pub fn open(id: &str, work: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Self { address: listener.local_addr()?, id: id.to_owned(), ran: Arc::default() };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                thread::spawn(move || server.serve(stream, work));
            }
        });
        Ok(server)
    }

    fn serve(&self, mut stream: TcpStream, work: Duration) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        while let Some(request) = http::read(&mut reader).ok()? {
            let id = request.header("arbutuslug-request-id").unwrap_or_default().to_owned();
            if request.header("arbutuslug-expect-instance").is_some_and(|expected| expected != self.id) {
                let headers = format!("Arbutuslug-Instance: {}\r\n", self.id);
                http::respond(&mut stream, "421 Misdirected Request", &headers, b"").ok()?;
                continue;
            }
            self.ran.lock().unwrap().push(id.clone());
            thread::sleep(work);
            let headers = format!("Arbutuslug-Request-Id: {id}\r\nArbutuslug-Server-Seal: {}.{id}\r\n", self.id);
            http::respond(&mut stream, "200 OK", &headers, b"recorded").ok()?;
        }
        Some(())
    }

    /// The server's entry in the store.
    pub fn entry(&self, service: &str) -> String {
        format!(
            r#"{{"service":"{service}","addr":"{}","zone":"z1","version":"v1","slots":64,"state":"ready","cold-left-ms":0,"seq":0}}"#,
            self.address
        )
    }
}
