//! HTTP/1.1 messages over plain sockets, and the record of a case.

use std::{
    fs::File,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Lines of `record.txt`, with milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("record.txt can't be created");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.ms());
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes()).unwrap();
    }
}

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is whole.
    pub whole: bool,
    /// Why it isn't.
    pub end: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer, 0 without one.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Method and path with query of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut parts = self.line.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The answer in short.
    pub fn summary(&self) -> String {
        let status = match self.status() {
            0 => "no answer".to_owned(),
            status => status.to_string(),
        };
        let end = if self.whole { "whole".to_owned() } else { format!("cut: {}", self.end) };
        format!("{status}, {} body bytes, {end}", self.body.len())
    }
}

/// Reads messages from a connection one after the other.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0_u8; 16 << 10];
        let count = self.stream.read(&mut part)?;
        if count == 0 {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed"));
        }
        self.buffer.extend_from_slice(&part[..count]);
        Ok(())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn take_bytes(&mut self, count: usize, body: &mut Vec<u8>) -> io::Result<()> {
        let mut left = count;
        loop {
            let part = left.min(self.buffer.len());
            body.extend(self.buffer.drain(..part));
            left -= part;
            if left == 0 {
                return Ok(());
            }
            self.fill()?;
        }
    }

    /// Reads a head, without its body.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let mut message = Message { line: self.take_line()?, ..Message::default() };
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body of a message. `to_end` tells whether one without a length ends with the connection.
    pub fn read_body(&mut self, message: &mut Message, to_end: bool) {
        let mut body = Vec::new();
        let chunked = message.header("transfer-encoding").is_some();
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        let read = if chunked {
            self.read_chunks(&mut body)
        } else if let Some(length) = length {
            self.take_bytes(length, &mut body)
        } else if to_end {
            loop {
                body.append(&mut self.buffer);
                match self.fill() {
                    Ok(()) => {}
                    Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => break Ok(()),
                    Err(error) => break Err(error),
                }
            }
        } else {
            Ok(())
        };
        message.body = body;
        message.whole = read.is_ok();
        message.end = read.err().map(|error| error.to_string()).unwrap_or_default();
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = self.take_line()?;
            let length = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "no chunk"))?;
            if length == 0 {
                while !self.take_line()?.is_empty() {}
                return Ok(());
            }
            self.take_bytes(length, body)?;
            self.take_line()?;
        }
    }

    /// Reads a whole request.
    pub fn read_request(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message, false);
        match message.whole {
            true => Ok(message),
            false => Err(io::Error::new(io::ErrorKind::UnexpectedEof, "request cut short")),
        }
    }

    /// Reads a whole answer, without interim ones.
    pub fn read_answer(&mut self) -> Message {
        loop {
            match self.read_head() {
                Ok(message) if (100..200).contains(&message.status()) => {}
                Ok(mut message) => {
                    self.read_body(&mut message, true);
                    return message;
                }
                Err(error) => return Message { end: error.to_string(), ..Message::default() },
            }
        }
    }
}

/// Connects to an address.
pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Text of a message with a length.
pub fn message_text(line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{line}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    [text.as_bytes(), body].concat()
}

/// One request on a connection of its own.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Message {
    let answer = || {
        let mut stream = connect(address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(request)?;
        Ok(Reader::new(stream).read_answer())
    };
    answer().unwrap_or_else(|error: io::Error| Message {
        end: format!("no connection: {error}"),
        ..Message::default()
    })
}
