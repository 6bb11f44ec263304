#pragma once

/**
 * @file
 * The error type used throughout the project. Every error has a stable id, the step and the peer at which it occurred, and states whether
 * any bytes may have reached the peer.
 */

#include <cstdint>
#include <string>

#include <tl/expected.hpp>

namespace apricotarch
{

/// Stable error ids. The hundreds digit identifies the layer; a number is never reused with another meaning.
enum class ErrorId : std::uint16_t {
    ConnectFailed = 101, ///< No connection could be established; nothing was sent.
    ConnectionLost = 102, ///< The connection was closed or failed during an exchange.
    TimedOut = 103, ///< No answer arrived within the timeout.
    ListenFailed = 104, ///< An address could not be bound.
    MessageTooLarge = 105, ///< A header, body or frame exceeds its limit.
    MalformedMessage = 201, ///< A message cannot be decoded.
    InvalidField = 202, ///< A field of a message is missing or out of range.
    UnexpectedStatus = 203, ///< A peer answered with a status that the protocol does not define.
    MisdirectedMessage = 204, ///< A message belongs to another request or another stream offset.
    Conflict = 301, ///< A conditional write found another version than expected.
    NotHolder = 302, ///< The lease is not held or has expired.
    StaleToken = 303, ///< An engine has received a higher fencing token.
    IntentOpen = 304, ///< Another order to the engine is still pending.
    NoMajority = 305, ///< Fewer than a majority of the members answered.
    Refused = 306, ///< A peer refused a request.
    OutcomeUnknown = 307, ///< It is unknown whether a write or call took effect.
    NotFound = 401, ///< The row, object, replica or service does not exist.
    NotReady = 402, ///< The node has no configuration yet.
    StoreUnavailable = 403, ///< The platform's store does not answer.
    RateLimited = 404, ///< The platform's store rejected the call because of its rate limit; nothing was executed.
    HistoryDropped = 405, ///< The platform's store no longer keeps the requested changes.
    StoreFull = 406, ///< The platform's store has no space for an object.
    NotAllowed = 407, ///< The platform's store denies this system write access.
    InvalidSettings = 501, ///< The settings file contains errors.
    InvalidQuestionnaire = 502, ///< The questionnaire contains errors.
};

/// Whether any bytes of a request may have reached the peer.
enum class Delivery : std::uint8_t {
    NotSent, ///< It is certain that nothing was sent.
    MaybeSent, ///< Some or all bytes were sent, or may have been sent.
};

/// An error, with the step and the peer at which it occurred.
struct Error
{
    ErrorId id = ErrorId::InvalidField;
    std::string step; ///< Operation that failed, for example `lease.renew`.
    std::string peer; ///< Address or name of the peer; empty if there is none.
    std::string detail; ///< Cause and, where useful, what to do about it.
    Delivery delivery = Delivery::NotSent;
};

/**
 * A value or an error.
 * @tparam T type of the value
 */
template<typename T>
using Result = tl::expected<T, Error>;

/// The error alternative of a Result.
using Failure = tl::unexpected<Error>;

/**
 * Returns the name of an error id, for logs and counters.
 * @return a name in snake case, or `unknown`
 */
[[nodiscard]] const char *errorName(ErrorId id) noexcept;

/**
 * Formats id, step, peer and detail of an error in one line.
 * @return a line, for example `error.103 timed_out step=lease.renew peer=127.0.0.1:7000: no answer in 1000 ms`
 */
[[nodiscard]] std::string formatError(const Error &error);

/**
 * Creates the error alternative of a Result.
 * @param id stable id
 * @param step operation that failed
 * @param peer address or name of the peer; empty if there is none
 * @param detail cause of the failure
 * @param delivery whether any bytes may have reached the peer
 */
[[nodiscard]] Failure fail(ErrorId id, std::string step, std::string peer, std::string detail, Delivery delivery = Delivery::NotSent);

} // namespace apricotarch
