//! Facts about the sender that go beside a message, as headers of its HTTP/2 stream.
//!
//! Builds that do not know a header ignore it.

use http::{HeaderMap, HeaderValue};
use mimosabay_core::placer_machine::Processor;

/// Number of this build's protocol. It grows when a variant is added to a message or a reply.
const PROTOCOL: u64 = 3;
/// Protocol of builds that state none.
const FIRST_PROTOCOL: u64 = 1;
/// First protocol with reports of the answers of servers that have just started.
const SERVER_ANSWERS_PROTOCOL: u64 = 3;
/// Header with the number of the sender's protocol.
const PROTOCOL_HEADER: &str = "protocol";
/// Header with the era of the platform's store, as far as the sender knows it.
const STORE_ERA_HEADER: &str = "store-era";

/// Header with the processor time of the sender's machine, in thousandths of a core.
const PROCESSOR_HEADER: &str = "processor-millicores";
/// Header with the largest processor time of other instances' machines that the sender knows, in
/// thousandths of a core.
const LARGEST_PROCESSOR_HEADER: &str = "largest-processor-millicores";

/// What a process says of itself beside a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SenderFacts {
    /// Number of the protocol that it speaks.
    pub protocol: u64,
    /// Era of the platform's store; `None` if it knows none.
    pub store_era: Option<u64>,
    /// Processor time of its machine.
    pub processor: Processor,
    /// Largest processor time of the machines of other instances that it knows.
    pub largest_processor: Processor,
}

impl SenderFacts {
    /// Facts about this process.
    pub fn of_this_build(store_era: Option<u64>) -> Self {
        Self {
            protocol: PROTOCOL,
            store_era,
            processor: Processor::default(),
            largest_processor: Processor::default(),
        }
    }

    /// Whether the sender's build knows the eras of the store.
    pub fn knows_eras(&self) -> bool {
        self.protocol > FIRST_PROTOCOL
    }

    /// Whether the sender's build takes reports of the answers of servers that have just started.
    pub fn takes_server_answers(&self) -> bool {
        self.protocol >= SERVER_ANSWERS_PROTOCOL
    }

    pub(crate) fn write(self, headers: &mut HeaderMap) {
        headers.insert(PROTOCOL_HEADER, HeaderValue::from(self.protocol));
        if let Some(era) = self.store_era {
            headers.insert(STORE_ERA_HEADER, HeaderValue::from(era));
        }
        write_processor(headers, PROCESSOR_HEADER, self.processor);
        write_processor(headers, LARGEST_PROCESSOR_HEADER, self.largest_processor);
    }

    pub(crate) fn read(headers: &HeaderMap) -> Self {
        Self {
            protocol: number(headers, PROTOCOL_HEADER).unwrap_or(FIRST_PROTOCOL),
            store_era: number(headers, STORE_ERA_HEADER),
            processor: Processor::stated(number(headers, PROCESSOR_HEADER)),
            largest_processor: Processor::stated(number(headers, LARGEST_PROCESSOR_HEADER)),
        }
    }
}

/// Writes a processor time that is known.
fn write_processor(headers: &mut HeaderMap, name: &'static str, processor: Processor) {
    if processor != Processor::default() {
        headers.insert(name, HeaderValue::from(processor.millicores()));
    }
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
