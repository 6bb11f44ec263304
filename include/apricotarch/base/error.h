#pragma once

/**
 * @file
 * The project's one error type. Every error has a stable id, the step and the peer at which it arose, and says whether
 * anything may have reached the peer.
 */

#include <cstdint>
#include <string>

#include <tl/expected.hpp>

namespace apricotarch
{

/// Stable error ids. Hundreds name the layer; a number is never used again for another meaning.
enum class ErrorId : std::uint16_t {
    ConnectFailed = 101, ///< No connection could be made; nothing was sent.
    ConnectionLost = 102, ///< The connection ended in the middle of an exchange.
    TimedOut = 103, ///< No answer in the time allowed.
    ListenFailed = 104, ///< An address could not be bound.
    MessageTooLarge = 105, ///< A header, body or frame exceeds its limit.
    MalformedMessage = 201, ///< A message cannot be decoded.
    InvalidField = 202, ///< A field of a message is missing or out of range.
    UnexpectedStatus = 203, ///< A peer answered with a status that the protocol does not foresee.
    ForeignMessage = 204, ///< A message belongs to another request or another offset.
    Conflict = 301, ///< A conditional write found another version.
    NotHolder = 302, ///< The lease is not held, or its time is over.
    StaleToken = 303, ///< An engine has seen a higher fencing token.
    IntentOpen = 304, ///< Another order to the engine is still open.
    NoMajority = 305, ///< Too few members answered.
    Refused = 306, ///< A peer refused a request.
    OutcomeUnknown = 307, ///< It cannot be known whether a write or call took effect.
    NotFound = 401, ///< No such row, object, replica or service.
    NotReady = 402, ///< The node has no configuration yet.
    StoreUnavailable = 403, ///< The platform's store does not answer.
    RateLimited = 404, ///< The platform's store takes no more calls for now; nothing was done.
    HistoryDropped = 405, ///< The platform's store no longer has the changes asked for.
    StoreFull = 406, ///< The platform's store has no room for an object.
    NotAllowed = 407, ///< The platform's store does not let this system write there.
    InvalidSettings = 501, ///< The settings file has faults.
    InvalidQuestionnaire = 502, ///< The questionnaire has faults.
};

/// Whether bytes of a request may have reached its peer.
enum class Delivery : std::uint8_t {
    NotSent, ///< It is certain that nothing was sent.
    MaybeSent, ///< Something was sent, or may have been.
};

/// An error with its position: the step of the work and the peer it was done with.
struct Error
{
    ErrorId id = ErrorId::InvalidField;
    std::string step; ///< What was being done, for example `lease.renew`.
    std::string peer; ///< With whom, as an address or a name; empty for none.
    std::string detail; ///< What happened, and where it helps, what to do next.
    Delivery delivery = Delivery::NotSent;
};

/**
 * A value or an error.
 * @tparam T type of the value
 */
template<typename T>
using Result = tl::expected<T, Error>;

/// An error as the unexpected half of a Result.
using Failure = tl::unexpected<Error>;

/**
 * The name of an error id, for logs and counters.
 * @param id the error id
 * @return a name in snake case; constant time, does not throw
 */
[[nodiscard]] const char *errorName(ErrorId id) noexcept;

/**
 * One line that names id, step, peer and detail of an error.
 * @param error the error
 * @return for example `error.103 timed_out step=lease.renew peer=127.0.0.1:7000: no answer in 1000 ms`
 */
[[nodiscard]] std::string describe(const Error &error);

/**
 * Makes the unexpected half of a Result.
 * @param id stable id
 * @param step what was being done
 * @param peer with whom
 * @param detail what happened
 * @param delivery whether bytes may have left
 */
[[nodiscard]] Failure fail(ErrorId id, std::string step, std::string peer, std::string detail, Delivery delivery = Delivery::NotSent);

} // namespace apricotarch
