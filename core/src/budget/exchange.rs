//! Messages between the instances: requests for tokens, grants, loans and their return.

use std::collections::BTreeMap;

use super::Budgets;
use super::message::{BudgetMessage, OutgoingMessage, TokenRequest, TokenResponse};
use crate::name::{InstanceId, Name};

/// Maximum rounds of messages from this process to itself in one call.
const MAX_LOCAL_ROUNDS: usize = 4;

impl Budgets {
    pub(super) fn send_requests(&mut self, outbox: &mut Outbox, now_ms: u64) {
        let organisations: Vec<Name> = self.by_organisation.keys().cloned().collect();
        for organisation in organisations {
            let Some(coordinator) = self.coordinator(&organisation).cloned() else {
                continue;
            };
            let Some(budget) = self.by_organisation.get_mut(&organisation) else {
                continue;
            };
            budget.account.advance(budget.limit, now_ms);
            let settings = &self.settings;
            let limit = budget.limit;
            let is_due = budget
                .account
                .is_request_due(&coordinator, limit, settings, now_ms);
            if budget.is_removed || !is_due {
                continue;
            }
            let borrower = budget.account.own_share.lent_to().cloned();
            if let Some(borrower) = borrower.filter(|borrower| *borrower != coordinator) {
                self.last_request_number += 1;
                let request_number = self.last_request_number;
                let recall =
                    budget
                        .account
                        .build_recall(&organisation, &borrower, request_number, now_ms);
                outbox.push_request(&borrower, recall);
            }
            self.last_request_number += 1;
            let request_number = self.last_request_number;
            let account = &mut budget.account;
            let request = account.build_request(
                &organisation,
                &coordinator,
                request_number,
                settings,
                now_ms,
            );
            outbox.push_request(&coordinator, request);
        }
    }

    pub(super) fn return_grants_and_loans(&mut self, outbox: &mut Outbox, now_ms: u64) {
        let organisations: Vec<Name> = self.by_organisation.keys().cloned().collect();
        for organisation in organisations {
            let coordinator = self.coordinator(&organisation).cloned();
            let Some(budget) = self.by_organisation.get_mut(&organisation) else {
                continue;
            };
            budget.advance(now_ms);
            for (lender, loan) in budget.pool.return_loans(budget.limit) {
                outbox.push_response(&lender, TokenResponse::returning_loan(&organisation, loan));
            }
            let Some(coordinator) = coordinator.filter(|coordinator| *coordinator != self.own_id)
            else {
                continue;
            };
            self.last_request_number += 1;
            let request_number = self.last_request_number;
            let account = &mut budget.account;
            let last = account.build_last_request(
                &organisation,
                &coordinator,
                request_number,
                &self.settings,
                now_ms,
            );
            outbox.push_request(&coordinator, last);
        }
    }

    pub(super) fn handle(
        &mut self,
        from: &InstanceId,
        message: BudgetMessage,
        outbox: &mut Outbox,
        now_ms: u64,
    ) {
        match message {
            BudgetMessage::Requests(requests) => {
                for request in requests {
                    self.handle_request(from, request, outbox, now_ms);
                }
            }
            BudgetMessage::Responses(responses) => {
                for response in responses {
                    self.handle_response(from, &response, now_ms);
                }
            }
        }
    }

    fn handle_request(
        &mut self,
        from: &InstanceId,
        mut request: TokenRequest,
        outbox: &mut Outbox,
        now_ms: u64,
    ) {
        let Some(budget) = self.by_organisation.get_mut(&request.organisation) else {
            return;
        };
        budget.advance(now_ms);
        if self.has_left
            && let Some(loan) = &mut request.loan
        {
            loan.recall = true;
        }
        let limit = budget.limit;
        let response = budget
            .pool
            .respond(from, &request, limit, &self.settings, now_ms);
        if let Some(response) = response {
            outbox.push_response(from, response);
        }
    }

    fn handle_response(&mut self, from: &InstanceId, response: &TokenResponse, now_ms: u64) {
        if let Some(budget) = self.by_organisation.get_mut(&response.organisation) {
            budget.account.advance(budget.limit, now_ms);
            let limit = budget.limit;
            let account = &mut budget.account;
            account.on_response(from, response, limit, &self.settings, now_ms);
        }
    }

    /// Handles the messages that this process sends to itself and returns the rest.
    pub(super) fn deliver_local(
        &mut self,
        mut outbox: Outbox,
        now_ms: u64,
    ) -> Vec<OutgoingMessage> {
        let own_id = self.own_id.clone();
        for _ in 0..MAX_LOCAL_ROUNDS {
            let local = outbox.take_for(&own_id);
            if local.is_empty() {
                break;
            }
            for message in local {
                self.handle(&own_id, message, &mut outbox, now_ms);
            }
        }
        outbox.into_messages()
    }
}

/// Outgoing messages by receiver.
#[derive(Default)]
pub(super) struct Outbox {
    requests: BTreeMap<InstanceId, Vec<TokenRequest>>,
    responses: BTreeMap<InstanceId, Vec<TokenResponse>>,
}

impl Outbox {
    fn push_request(&mut self, to: &InstanceId, request: TokenRequest) {
        self.requests.entry(to.clone()).or_default().push(request);
    }

    fn push_response(&mut self, to: &InstanceId, response: TokenResponse) {
        self.responses.entry(to.clone()).or_default().push(response);
    }

    fn take_for(&mut self, to: &InstanceId) -> Vec<BudgetMessage> {
        let requests = self.requests.remove(to).map(BudgetMessage::Requests);
        let responses = self.responses.remove(to).map(BudgetMessage::Responses);
        requests.into_iter().chain(responses).collect()
    }

    fn into_messages(self) -> Vec<OutgoingMessage> {
        let requests = self.requests.into_iter();
        let responses = self.responses.into_iter();
        requests
            .map(|(to, requests)| (to, BudgetMessage::Requests(requests)))
            .chain(responses.map(|(to, responses)| (to, BudgetMessage::Responses(responses))))
            .map(|(to, message)| OutgoingMessage { to, message })
            .collect()
    }
}
