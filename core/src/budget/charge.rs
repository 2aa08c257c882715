//! Open charges of requests, from the first attempt to the settlement.

use std::collections::{HashMap, VecDeque};

use super::message::Refund;
use crate::name::InstanceId;

/// Maximum number of refunds in one token request. More are dropped, which loses tokens but never
/// exceeds the limit.
const MAX_REFUNDS: usize = 32;
/// Time without a new attempt after which a waiting request counts as abandoned.
const ABANDON_AFTER_MS: u64 = 1_000;

/// Number of a request, unique within its process.
pub type Ticket = u64;

/// Origin of the tokens of a charge.
#[derive(Clone, Debug)]
pub(super) enum ChargeSource {
    /// The own share, during its period `epoch`.
    OwnShare { epoch: u64, mark: u64 },
    /// Grants of a coordinator, or the own share that has since been lent to it. Token request
    /// `first_request` is the first to report the charge there; `mark` is that coordinator's mark
    /// once its response has arrived.
    Granted {
        coordinator: InstanceId,
        first_request: u64,
        mark: Option<u64>,
    },
}

/// Tokens of a charge from one source.
#[derive(Clone, Debug)]
pub(super) struct ChargePart {
    pub(super) source: ChargeSource,
    pub(super) tokens: f64,
    /// Upper bound of the refund for this part.
    pub(super) refundable_tokens: f64,
}

impl ChargePart {
    /// Creates a fully refundable part.
    pub(super) fn new(source: ChargeSource, tokens: f64) -> Self {
        Self {
            source,
            tokens,
            refundable_tokens: tokens,
        }
    }
}

/// Result of settling a charge.
#[derive(Debug)]
pub(super) struct Settlement {
    /// Unused parts that were taken from the own share.
    pub(super) own_share_parts: Vec<ChargePart>,
    /// Unused tokens to report to coordinators.
    pub(super) refund_tokens: f64,
    /// Tokens that were used beyond the charge.
    pub(super) excess_tokens: f64,
}

/// Unused parts of charges that can be reported to a coordinator.
#[derive(Debug, Default)]
pub(super) struct UnusedTokens {
    /// Parts of charges that the coordinator has recorded as spent.
    pub(super) refunds: Vec<Refund>,
    /// Parts of charges not yet reported to the coordinator, which still counts these tokens as
    /// held by the member.
    pub(super) returned_tokens: f64,
}

/// Unsettled charges and refunds not yet sent.
#[derive(Debug, Default)]
pub(super) struct OpenCharges {
    by_ticket: HashMap<Ticket, Vec<ChargePart>>,
    refunds: Vec<ChargePart>,
}

impl OpenCharges {
    pub(super) fn insert(&mut self, ticket: Ticket, parts: Vec<ChargePart>) {
        self.by_ticket.entry(ticket).or_default().extend(parts);
    }

    /// Settles the charge of `ticket`, of which `used` tokens were used.
    pub(super) fn settle(&mut self, ticket: Ticket, used: f64) -> Option<Settlement> {
        let mut parts = self.by_ticket.remove(&ticket)?;
        let mut used = used;
        for part in &mut parts {
            let used_tokens = part.tokens.min(used);
            part.tokens = (part.tokens - used_tokens).min(part.refundable_tokens);
            used -= used_tokens;
        }
        parts.retain(|part| part.tokens > 0.0);
        let (own_share_parts, granted): (Vec<_>, Vec<_>) = parts
            .into_iter()
            .partition(|part| matches!(part.source, ChargeSource::OwnShare { .. }));
        let refund_tokens = granted.iter().map(|part| part.tokens).sum();
        self.refunds.extend(granted);
        Some(Settlement {
            own_share_parts,
            refund_tokens,
            excess_tokens: used,
        })
    }

    /// Directs later refunds of charges on the own share to `coordinator`, to which the share is
    /// lent with `request_number`. `set_aside` returns the refundable tokens for an epoch, a mark
    /// and an amount.
    pub(super) fn transfer_to_coordinator(
        &mut self,
        coordinator: &InstanceId,
        request_number: u64,
        mut set_aside: impl FnMut(u64, u64, f64) -> f64,
    ) {
        for part in self.by_ticket.values_mut().flatten() {
            let ChargeSource::OwnShare { epoch, mark } = part.source else {
                continue;
            };
            part.refundable_tokens = set_aside(epoch, mark, part.tokens);
            part.source = ChargeSource::Granted {
                coordinator: coordinator.clone(),
                first_request: request_number,
                mark: None,
            };
        }
    }

    /// Records `mark` from the response of `coordinator` to `request_number`.
    pub(super) fn record_mark(&mut self, coordinator: &InstanceId, request_number: u64, mark: u64) {
        let open = self.by_ticket.values_mut().flatten();
        for part in open.chain(&mut self.refunds) {
            part.source.record_mark(coordinator, request_number, mark);
        }
    }

    /// Removes and returns the unused parts of charges that can be reported to `coordinator` with
    /// `request_number`, and drops those of other coordinators.
    pub(super) fn take_unused(
        &mut self,
        coordinator: &InstanceId,
        request_number: u64,
    ) -> UnusedTokens {
        let mut unused = UnusedTokens::default();
        let mut ready = Vec::new();
        self.refunds.retain(|part| match &part.source {
            ChargeSource::Granted {
                coordinator: granting_coordinator,
                first_request,
                mark,
            } if granting_coordinator == coordinator => {
                if *first_request == request_number {
                    unused.returned_tokens += part.tokens;
                    return false;
                }
                ready.extend(mark.map(|mark| (mark, part.tokens)));
                mark.is_none()
            }
            _ => false,
        });
        unused.refunds = merge_by_mark(ready);
        unused
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_ticket.is_empty() && self.refunds.is_empty()
    }
}

impl ChargeSource {
    fn record_mark(&mut self, from: &InstanceId, request_number: u64, response_mark: u64) {
        if let ChargeSource::Granted {
            coordinator,
            first_request,
            mark: mark @ None,
        } = self
            && coordinator == from
            && *first_request <= request_number
        {
            *mark = Some(response_mark);
        }
    }
}

/// Sums refunds with the same mark.
fn merge_by_mark(mut ready: Vec<(u64, f64)>) -> Vec<Refund> {
    ready.sort_by_key(|&(mark, _)| mark);
    let mut merged: Vec<Refund> = Vec::new();
    for (mark, tokens) in ready {
        match merged.last_mut() {
            Some(last) if last.mark == mark => last.tokens += tokens,
            _ => merged.push(Refund { mark, tokens }),
        }
    }
    let surplus = merged.len().saturating_sub(MAX_REFUNDS);
    merged.split_off(surplus)
}

/// A request that waits for tokens.
#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    tokens: f64,
    since_ms: u64,
    expires_ms: u64,
}

/// Requests that wait for tokens, oldest first.
#[derive(Debug, Default)]
pub(super) struct Waiters {
    queue: VecDeque<Waiter>,
}

impl Waiters {
    /// Appends a request to the queue, or keeps its position if it is already queued.
    pub(super) fn enqueue(&mut self, ticket: Ticket, tokens: f64, now_ms: u64) {
        let expires_ms = now_ms + ABANDON_AFTER_MS;
        match self.queue.iter_mut().find(|waiter| waiter.ticket == ticket) {
            Some(waiter) => waiter.expires_ms = expires_ms,
            None => self.queue.push_back(Waiter {
                ticket,
                tokens,
                since_ms: now_ms,
                expires_ms,
            }),
        }
    }

    /// Time at which a request was queued.
    pub(super) fn waiting_since_ms(&self, ticket: Ticket) -> Option<u64> {
        let mut queue = self.queue.iter();
        let waiter = queue.find(|waiter| waiter.ticket == ticket)?;
        Some(waiter.since_ms)
    }

    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.queue.retain(|waiter| waiter.ticket != ticket);
    }

    pub(super) fn expire(&mut self, now_ms: u64) {
        self.queue.retain(|waiter| waiter.expires_ms > now_ms);
    }

    /// Tokens of the requests queued ahead of `ticket`.
    pub(super) fn ahead_tokens(&self, ticket: Ticket) -> f64 {
        let ahead = self
            .queue
            .iter()
            .take_while(|waiter| waiter.ticket != ticket);
        ahead.map(|waiter| waiter.tokens).sum()
    }

    pub(super) fn first_tokens(&self) -> f64 {
        self.queue.front().map_or(0.0, |waiter| waiter.tokens)
    }

    pub(super) fn total_tokens(&self) -> f64 {
        self.queue.iter().map(|waiter| waiter.tokens).sum()
    }
}
