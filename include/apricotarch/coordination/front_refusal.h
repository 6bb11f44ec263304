#pragma once

/**
 * @file
 * Why a front node answers a request itself, and what it then says.
 */

#include <cstdint>

namespace apricotarch
{

/// Why a request got no answer from a backend server. It has not run, whatever the reason.
enum class RefusalReason : std::uint8_t {
    NoConfiguration,
    NoRoute,
    NoServer,
    TooLate, ///< It cannot be served within its time.
    Convicted, ///< Its content has crashed backend servers.
    ServersFull, ///< Every server that may be asked has declined.
    Overloaded, ///< It would wait for longer than it is worth.
};

/// What a refusal says, and whether the caller may come back.
struct RefusalForm
{
    int status;
    const char *reason; ///< In the answer, the log and the counter.
    bool retry;
};

/// The form of each reason. Constant time.
[[nodiscard]] const RefusalForm &refusalForm(RefusalReason reason) noexcept;

} // namespace apricotarch
