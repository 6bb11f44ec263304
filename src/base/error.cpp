#include "apricotarch/base/error.h"

#include <utility>

namespace apricotarch
{

const char *errorName(ErrorId id) noexcept
{
    switch (id) {
    case ErrorId::ConnectFailed:
        return "connect_failed";
    case ErrorId::ConnectionLost:
        return "connection_lost";
    case ErrorId::TimedOut:
        return "timed_out";
    case ErrorId::ListenFailed:
        return "listen_failed";
    case ErrorId::MessageTooLarge:
        return "message_too_large";
    case ErrorId::MalformedMessage:
        return "malformed_message";
    case ErrorId::InvalidField:
        return "invalid_field";
    case ErrorId::UnexpectedStatus:
        return "unexpected_status";
    case ErrorId::MisdirectedMessage:
        return "foreign_message";
    case ErrorId::Conflict:
        return "conflict";
    case ErrorId::NotHolder:
        return "not_holder";
    case ErrorId::StaleToken:
        return "stale_token";
    case ErrorId::IntentOpen:
        return "intent_open";
    case ErrorId::NoMajority:
        return "no_majority";
    case ErrorId::Refused:
        return "refused";
    case ErrorId::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorId::NotFound:
        return "not_found";
    case ErrorId::NotReady:
        return "not_ready";
    case ErrorId::StoreUnavailable:
        return "store_unavailable";
    case ErrorId::RateLimited:
        return "rate_limited";
    case ErrorId::HistoryDropped:
        return "history_dropped";
    case ErrorId::StoreFull:
        return "store_full";
    case ErrorId::NotAllowed:
        return "not_allowed";
    case ErrorId::InvalidSettings:
        return "invalid_settings";
    case ErrorId::InvalidQuestionnaire:
        return "invalid_questionnaire";
    }
    return "unknown";
}

std::string formatError(const Error &error)
{
    std::string line = "error." + std::to_string(static_cast<int>(error.id)) + ' ' + errorName(error.id) + " step=" + error.step;
    if (!error.peer.empty()) {
        line += " peer=" + error.peer;
    }
    return line + ": " + error.detail;
}

Failure fail(ErrorId id, std::string step, std::string peer, std::string detail, Delivery delivery)
{
    return Failure(Error{id, std::move(step), std::move(peer), std::move(detail), delivery});
}

} // namespace apricotarch
