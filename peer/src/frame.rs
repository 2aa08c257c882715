//! Framing of length-prefixed `bincode` messages on an HTTP/2 stream.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;

const LENGTH_BYTES: usize = 4;
/// Maximum size of a received message.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Reads messages from a stream.
pub(crate) struct Reader {
    stream: RecvStream,
    buffer: BytesMut,
}

impl Reader {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Reads the next message. Returns `None` if the stream ended after a complete message.
    pub(crate) async fn read<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Error> {
        loop {
            if let Some(message) = self.split_message()? {
                return decode(&message).map(Some);
            }
            match self.stream.data().await {
                Some(Ok(data)) => self.append(&data)?,
                Some(Err(cause)) => return Err(Error::interrupted(cause)),
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(Error::interrupted("stream ended inside a message")),
            }
        }
    }

    /// Returns the stream and the bytes behind the last message.
    pub(crate) fn into_parts(self) -> (RecvStream, Bytes) {
        (self.stream, self.buffer.freeze())
    }

    fn append(&mut self, data: &Bytes) -> Result<(), Error> {
        self.buffer.extend_from_slice(data);
        self.stream
            .flow_control()
            .release_capacity(data.len())
            .map_err(Error::interrupted)
    }

    fn split_message(&mut self) -> Result<Option<BytesMut>, Error> {
        if self.buffer.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let length = (&self.buffer[..LENGTH_BYTES]).get_u32() as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(Error::malformed("message exceeds the maximum size"));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        Ok(Some(self.buffer.split_to(length)))
    }
}

/// Writes messages to a stream.
pub(crate) struct Writer {
    stream: SendStream<Bytes>,
}

impl Writer {
    pub(crate) fn new(stream: SendStream<Bytes>) -> Self {
        Self { stream }
    }

    /// Writes one message. Waits while the flow-control window of the receiver is full.
    pub(crate) async fn write(
        &mut self,
        message: &impl Serialize,
        end_stream: bool,
    ) -> Result<(), Error> {
        let mut data = encode(message)?;
        while !data.is_empty() {
            let chunk = data.split_to(self.wait_for_capacity(data.len()).await?.min(data.len()));
            let end = end_stream && data.is_empty();
            self.stream
                .send_data(chunk, end)
                .map_err(Error::interrupted)?;
        }
        Ok(())
    }

    /// Returns the stream.
    pub(crate) fn into_stream(self) -> SendStream<Bytes> {
        self.stream
    }

    /// Ends the stream without sending another message.
    pub(crate) fn end(&mut self) {
        // An error means that the receiver has already reset the stream.
        let _ = self.stream.send_data(Bytes::new(), true);
    }

    /// Waits until the receiver resets the stream.
    pub(crate) async fn wait_for_reset(&mut self) {
        // An error also means that the stream is closed.
        let _ = std::future::poll_fn(|cx| self.stream.poll_reset(cx)).await;
    }

    async fn wait_for_capacity(&mut self, wanted_bytes: usize) -> Result<usize, Error> {
        self.stream.reserve_capacity(wanted_bytes);
        loop {
            let available = self.stream.capacity();
            if available > 0 {
                return Ok(available);
            }
            let change = std::future::poll_fn(|cx| self.stream.poll_capacity(cx)).await;
            match change {
                Some(Ok(_)) => {}
                Some(Err(cause)) => return Err(Error::interrupted(cause)),
                None => return Err(Error::interrupted("stream closed by the receiver")),
            }
        }
    }
}

fn encode(message: &impl Serialize) -> Result<Bytes, Error> {
    let body = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map_err(Error::malformed)?;
    let length = u32::try_from(body.len()).map_err(Error::malformed)?;
    let mut data = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    data.put_u32(length);
    data.put_slice(&body);
    Ok(data.freeze())
}

fn decode<T: DeserializeOwned>(message: &[u8]) -> Result<T, Error> {
    let (value, _) = bincode::serde::decode_from_slice(message, bincode::config::standard())
        .map_err(Error::malformed)?;
    Ok(value)
}
