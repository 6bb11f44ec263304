#pragma once

/**
 * @file
 * What every request of a caller passes before it is run.
 */

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "apricotarch/app/node.h"
#include "apricotarch/protocol/problem.h"
#include "apricotarch/transport/http_message.h"

namespace apricotarch
{

/// Longest id or idempotency key that a caller may choose, in bytes.
inline constexpr std::size_t MaxKeyBytes = 256;

/// What an admitted request has.
struct Admitted
{
    std::shared_ptr<const ConfigurationInForce> inForce;
    CallerId caller;
    const ServiceSpec *service = nullptr; ///< Within inForce.
    std::unique_ptr<AdmissionPlace> place; ///< Given back when the request ends.
    TimePoint deadline;
};

/// Checks configuration, key, service, drain state and limits, in this order. @return the refusal where one fails
[[nodiscard]] tl::expected<Admitted, Problem> admit(Node &node, const HttpRequest &request, const ServiceId &service);

/// The key in an `Authorization: Bearer` header, or an empty text.
[[nodiscard]] std::string bearerKey(const HttpRequest &request);

/// The caller's own request id, or a new one.
[[nodiscard]] RequestId requestIdOf(const HttpRequest &request);

/// A header's whole number; nothing where it is missing or not a number.
[[nodiscard]] std::optional<std::int64_t> headerNumber(const HttpRequest &request, std::string_view name);

} // namespace apricotarch
