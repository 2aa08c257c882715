//! Memory of the answers that this instance reads from servers and has not passed on yet.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use mimosabay_core::answer_memory::{Allocation, AnswerMemory, AnswerNumber};
use tokio::sync::Notify;
use tracing::warn;

/// Divisor of the memory of the process that gives what answers in progress take together.
const MEMORY_DIVISOR: u64 = 8;
/// Number of bytes up to which an answer is not counted.
const UNCOUNTED_BYTES: usize = 16 * 1024;
/// Largest answer that is read as a whole, in bytes.
const MAX_WHOLE_BYTES: usize = 8 * 1024 * 1024;

/// The memory that answers in progress take together.
pub(crate) struct AnswerBuffers {
    held: Mutex<Held>,
}

struct Held {
    memory: AnswerMemory,
    /// Wakes the readers of the counted answers when they have to give way.
    readers: HashMap<AnswerNumber, Arc<Notify>>,
}

/// The answer has no end within its limit, or has to give way to smaller ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TooLarge;

/// Why an answer was not read as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unread {
    /// The connection broke.
    Broken,
    /// The answer takes too much memory.
    TooLarge,
}

impl AnswerBuffers {
    /// Creates the buffers of a process with some memory in bytes.
    pub(crate) fn new(memory_bytes: u64) -> Self {
        let limit_bytes = memory_bytes / MEMORY_DIVISOR;
        let limit_bytes = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
        Self {
            held: Mutex::new(Held {
                memory: AnswerMemory::new(limit_bytes),
                readers: HashMap::new(),
            }),
        }
    }

    /// Adds the buffer of an answer.
    pub(crate) fn add(self: &Arc<Self>) -> AnswerBuffer {
        AnswerBuffer {
            buffers: self.clone(),
            counted: None,
        }
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().expect("answer buffers lock")
    }
}

/// What one answer holds. Dropping it frees the memory.
pub(crate) struct AnswerBuffer {
    buffers: Arc<AnswerBuffers>,
    /// `None` while the answer is small.
    counted: Option<Counted>,
}

struct Counted {
    number: AnswerNumber,
    bytes: usize,
    gives_way: Arc<Notify>,
}

impl AnswerBuffer {
    /// Sets how much the answer holds, in bytes. Its memory is counted in powers of two, as it is
    /// allocated.
    ///
    /// # Errors
    ///
    /// The answer has to give way, and its bytes are to be dropped.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), TooLarge> {
        let bytes = if bytes > UNCOUNTED_BYTES {
            bytes.next_power_of_two()
        } else {
            0
        };
        if bytes == self.counted.as_ref().map_or(0, |counted| counted.bytes) {
            return Ok(());
        }
        let counted = self.counted.get_or_insert_with(|| self.buffers.count());
        let mut held = self.buffers.held();
        let allocation = held.memory.resize(counted.number, bytes);
        counted.bytes = bytes;
        match allocation {
            Allocation::Granted => Ok(()),
            Allocation::GrantedInPlaceOf(other) => {
                let used_bytes = held.memory.used_bytes();
                if let Some(reader) = held.readers.get(&other) {
                    reader.notify_one();
                }
                drop(held);
                warn!(event = "answer_gives_way", bytes, used_bytes);
                Ok(())
            }
            Allocation::Refused => {
                let used_bytes = held.memory.used_bytes();
                drop(held);
                warn!(event = "answer_memory_refused", bytes, used_bytes);
                Err(TooLarge)
            }
        }
    }

    /// Returns once the answer has to give way.
    pub(crate) async fn gives_way(&self) {
        match &self.counted {
            Some(counted) => counted.gives_way.notified().await,
            None => std::future::pending().await,
        }
    }

    /// Keeps the memory of a complete answer until the last copy of its bytes is dropped.
    fn into_bytes(self, bytes: Bytes) -> Bytes {
        let Some(counted) = &self.counted else {
            return bytes;
        };
        self.buffers.held().memory.complete(counted.number);
        Bytes::from_owner(CompleteAnswer {
            bytes,
            _buffer: self,
        })
    }
}

impl AnswerBuffers {
    fn count(&self) -> Counted {
        let gives_way = Arc::new(Notify::new());
        let mut held = self.held();
        let number = held.memory.add();
        held.readers.insert(number, gives_way.clone());
        Counted {
            number,
            bytes: 0,
            gives_way,
        }
    }
}

impl Drop for AnswerBuffer {
    fn drop(&mut self) {
        if let Some(counted) = &self.counted {
            let mut held = self.buffers.held();
            held.memory.remove(counted.number);
            held.readers.remove(&counted.number);
        }
    }
}

struct CompleteAnswer {
    bytes: Bytes,
    _buffer: AnswerBuffer,
}

impl AsRef<[u8]> for CompleteAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the whole body of an answer.
///
/// # Errors
///
/// See [`Unread`].
pub(crate) async fn read_whole(
    mut body: Incoming,
    mut buffer: AnswerBuffer,
) -> Result<Bytes, Unread> {
    let mut whole = BytesMut::new();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = buffer.gives_way() => return Err(Unread::TooLarge),
        };
        let data = match frame {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => return Err(Unread::Broken),
            None => return Ok(buffer.into_bytes(whole.freeze())),
        };
        let bytes = whole.len() + data.len();
        if bytes > MAX_WHOLE_BYTES {
            return Err(Unread::TooLarge);
        }
        buffer.resize(bytes).map_err(|TooLarge| Unread::TooLarge)?;
        if whole.is_empty() && body.is_end_stream() {
            return Ok(buffer.into_bytes(data));
        }
        whole.extend_from_slice(&data);
    }
}
