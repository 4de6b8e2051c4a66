//! Reads a caller's body whole, with a bound on its size and on the time between its parts, and charges its memory
//! before it is read.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use memmap2::MmapMut;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::memory::{MemoryAccount, MemoryCharge, MemoryShare};

/// Largest body that may take from the part of the memory that is reserved for small bodies.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// Smallest buffer for a body whose length isn't announced.
const MIN_BUFFER_BYTES: usize = 4 << 10;
/// Step in which the memory of a larger body whose length isn't announced is charged.
const CHARGE_STEP_BYTES: usize = 256 << 10;

/// Longest wait for memory for a body. Nothing is read from the connection meanwhile.
pub const MEMORY_WAIT: Duration = Duration::from_millis(500);
/// Longest time to read on from a refused body. A connection that is closed with unread bytes is reset, and the answer
/// may be lost.
pub const REFUSED_BODY_TIME: Duration = Duration::from_secs(1);
/// Retry-after time of requests for which there is no memory. Slow bodies that hold it are given up by then.
pub const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Bounds for bodies of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Largest body, in bytes.
    pub bytes: usize,
    /// Longest wait for the next part.
    pub part: Duration,
    /// Longest time for the whole body, so that a sender of one byte at a time can't hold a task.
    pub whole: Duration,
}

/// Why a body can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFault {
    /// Larger than the limit.
    TooLarge,
    /// The connection ended first.
    CutShort,
    /// Its parts came too slowly.
    TooSlow,
    /// The process has no memory for it, or none any longer, since it came slowly while others waited.
    NoRoom,
}

impl BodyFault {
    /// HTTP status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            BodyFault::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyFault::CutShort => StatusCode::BAD_REQUEST,
            BodyFault::TooSlow => StatusCode::REQUEST_TIMEOUT,
            BodyFault::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Text of the answer.
    pub fn message(self) -> &'static str {
        match self {
            BodyFault::TooLarge => "the body is larger than this VM accepts; send a smaller one",
            BodyFault::CutShort => "the body ended before its stated length; send it whole",
            BodyFault::TooSlow => "the body did not arrive in time; send it without pauses",
            BodyFault::NoRoom => "the process has no memory for the body at present; repeat later",
        }
    }
}

/// Reads the whole body without keeping it, before a request is refused for its head. A connection that is closed
/// while its caller is still sending is reset, and the answer is lost.
pub async fn discard_body<B>(mut body: B, limits: BodyLimits) -> Result<(), BodyFault>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = body.size_hint().lower();
    if announced > limits.bytes as u64 {
        return Err(BodyFault::TooLarge);
    }
    let read = async {
        let mut length = 0;
        while let Some(data) = next_part(&mut body, limits.part).await? {
            length += data.len();
            if length > limits.bytes {
                return Err(BodyFault::TooLarge);
            }
        }
        Ok(())
    };
    timeout(limits.whole, read).await.unwrap_or(Err(BodyFault::TooSlow))
}

/// From where the memory of a body is taken.
#[derive(Debug, Clone, Copy)]
pub struct BodyRoom<'a> {
    /// Account of the process.
    pub account: &'a MemoryAccount,
    /// Share to which bodies are charged.
    pub share: MemoryShare,
    /// Share to which bodies of up to [`SMALL_BODY_BYTES`] are charged.
    pub small_share: MemoryShare,
    /// Longest wait for memory. Meanwhile nothing is read.
    pub wait: Duration,
}

impl BodyRoom<'_> {
    /// Charges a whole body of this size.
    async fn charge(&self, bytes: usize) -> Result<MemoryCharge, BodyFault> {
        let share = if bytes <= SMALL_BODY_BYTES { self.small_share } else { self.share };
        self.account.charge_within(share, bytes, self.wait).await.ok_or(BodyFault::NoRoom)
    }

    /// Charges a part of a body that is not small.
    async fn charge_large(&self, bytes: usize) -> Result<MemoryCharge, BodyFault> {
        let charge = self.account.charge_within(self.share, bytes, self.wait).await;
        charge.ok_or(BodyFault::NoRoom)
    }
}

/// A body whose memory is charged as long as this is held.
#[derive(Debug)]
pub struct ChargedBody {
    /// The bytes.
    pub bytes: Bytes,
    /// Their memory.
    pub charge: MemoryCharge,
}

/// Reads the whole body. Memory is charged before its bytes are read: the announced length at once, otherwise in steps.
pub async fn read_charged_body<B>(
    body: &mut B,
    limits: BodyLimits,
    room: BodyRoom<'_>,
) -> Result<ChargedBody, BodyFault>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = body.size_hint();
    if announced.lower() > limits.bytes as u64 {
        return Err(BodyFault::TooLarge);
    }
    let given_up = CancellationToken::new();
    let read = async {
        let mut buffer = match announced.exact() {
            Some(bytes) => BodyBuffer::announced(bytes as usize, room).await?,
            None => BodyBuffer::growing(limits.bytes, room).await?,
        };
        let charged = buffer.charge.bytes();
        let transfer = room.account.open_transfer(room.share, charged, given_up.clone());
        while let Some(data) = next_part(body, limits.part).await? {
            if buffer.len() + data.len() > buffer.limit {
                return Err(BodyFault::TooLarge);
            }
            buffer.append(&data, room).await?;
            transfer.record(data.len(), buffer.charge.bytes());
        }
        Ok(buffer.finish())
    };
    tokio::select! {
        biased;
        read = timeout(limits.whole, read) => read.unwrap_or(Err(BodyFault::TooSlow)),
        () = given_up.cancelled() => Err(BodyFault::NoRoom),
    }
}

enum BufferMemory {
    /// A small body.
    Heap(Vec<u8>),
    /// A larger body. It is mapped for itself, since the allocator keeps large blocks that have been freed.
    Mapped { map: MmapMut, length: usize },
}

/// A body that is being read, with the memory that is charged for it.
pub(crate) struct BodyBuffer {
    memory: BufferMemory,
    charge: MemoryCharge,
    /// Largest body.
    limit: usize,
}

impl BodyBuffer {
    /// A buffer for a body whose length is known.
    pub(crate) async fn announced(
        bytes: usize,
        room: BodyRoom<'_>,
    ) -> Result<BodyBuffer, BodyFault> {
        let charge = room.charge(bytes).await?;
        let memory = match bytes <= SMALL_BODY_BYTES {
            true => BufferMemory::Heap(Vec::with_capacity(bytes)),
            false => map_bytes(bytes)?,
        };
        Ok(BodyBuffer { memory, charge, limit: bytes })
    }

    /// A buffer for a body of unknown length.
    pub(crate) async fn growing(limit: usize, room: BodyRoom<'_>) -> Result<BodyBuffer, BodyFault> {
        let charge = room.charge(MIN_BUFFER_BYTES).await?;
        let memory = BufferMemory::Heap(Vec::with_capacity(MIN_BUFFER_BYTES));
        Ok(BodyBuffer { memory, charge, limit })
    }

    pub(crate) fn len(&self) -> usize {
        match &self.memory {
            BufferMemory::Heap(bytes) => bytes.len(),
            BufferMemory::Mapped { length, .. } => *length,
        }
    }

    /// Appends a part after its memory has been charged. The whole is within the limit.
    pub(crate) async fn append(
        &mut self,
        data: &[u8],
        room: BodyRoom<'_>,
    ) -> Result<(), BodyFault> {
        let needed = self.len() + data.len();
        if let BufferMemory::Heap(bytes) = &self.memory
            && needed > bytes.capacity()
        {
            self.enlarge(needed, room).await?;
        }
        if let BufferMemory::Mapped { .. } = &self.memory
            && needed > self.charge.bytes()
        {
            let step = (needed - self.charge.bytes()).max(CHARGE_STEP_BYTES);
            let step = step.min(self.limit - self.charge.bytes());
            self.charge.merge(room.charge_large(step).await?);
        }
        match &mut self.memory {
            BufferMemory::Heap(bytes) => bytes.extend_from_slice(data),
            BufferMemory::Mapped { map, length } => {
                map[*length..needed].copy_from_slice(data);
                *length = needed;
            }
        }
        Ok(())
    }

    /// Replaces a small buffer by a larger one. Both are charged while the bytes are copied.
    async fn enlarge(&mut self, needed: usize, room: BodyRoom<'_>) -> Result<(), BodyFault> {
        let BufferMemory::Heap(bytes) = &self.memory else { return Ok(()) };
        let doubled = (2 * bytes.capacity()).max(needed);
        let (charge, memory) = if doubled <= SMALL_BODY_BYTES {
            let charge = room.charge(doubled).await?;
            let mut larger = Vec::with_capacity(doubled);
            larger.extend_from_slice(bytes);
            (charge, BufferMemory::Heap(larger))
        } else {
            let charge = room.charge_large(doubled.min(self.limit)).await?;
            // Only the pages that are written take memory.
            let mut memory = map_bytes(self.limit)?;
            if let BufferMemory::Mapped { map, length } = &mut memory {
                map[..bytes.len()].copy_from_slice(bytes);
                *length = bytes.len();
            }
            (charge, memory)
        };
        self.memory = memory;
        self.charge = charge;
        Ok(())
    }

    pub(crate) fn finish(self) -> ChargedBody {
        let bytes = match self.memory {
            BufferMemory::Heap(bytes) => Bytes::from(bytes),
            BufferMemory::Mapped { map, length } => {
                Bytes::from_owner(MappedBody(map)).slice(..length)
            }
        };
        ChargedBody { bytes, charge: self.charge }
    }
}

/// Owner of the bytes of a mapped body.
struct MappedBody(MmapMut);

impl AsRef<[u8]> for MappedBody {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

fn map_bytes(bytes: usize) -> Result<BufferMemory, BodyFault> {
    let map = MmapMut::map_anon(bytes).map_err(|_| BodyFault::NoRoom)?;
    Ok(BufferMemory::Mapped { map, length: 0 })
}

/// Reads what is left of a refused body without keeping it, up to so many bytes and for so long.
pub async fn discard_rest<B>(body: &mut B, bytes: usize, time: Duration)
where
    B: Body<Data = Bytes> + Unpin,
{
    let read = async {
        let mut length = 0;
        while length <= bytes
            && let Ok(Some(data)) = next_part(body, time).await
        {
            length += data.len();
        }
    };
    // Refused bodies may never end.
    let _ = timeout(time, read).await;
}

/// The next part with data; `None` at the end.
async fn next_part<B>(body: &mut B, wait: Duration) -> Result<Option<Bytes>, BodyFault>
where
    B: Body<Data = Bytes> + Unpin,
{
    loop {
        let frame = timeout(wait, body.frame()).await.map_err(|_| BodyFault::TooSlow)?;
        let Some(frame) = frame else { return Ok(None) };
        if let Ok(data) = frame.map_err(|_| BodyFault::CutShort)?.into_data() {
            return Ok(Some(data));
        }
    }
}
