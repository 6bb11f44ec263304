#pragma once

/**
 * @file
 * Admission of callers' requests.
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

/// Longest request id or idempotency key that a caller may choose, in bytes.
inline constexpr std::size_t MaxKeyBytes = 256;

/// An admitted request.
struct AdmittedRequest
{
    std::shared_ptr<const ActiveConfiguration> inForce; ///< Configuration under which the request was admitted.
    CallerId caller;
    const ServiceSpec *service = nullptr; ///< The requested service, owned by inForce.
    std::unique_ptr<AdmissionPermit> permit; ///< Counts the request against the admission limits until it ends.
    TimePoint deadline;
};

/**
 * Admits a request after checking configuration, key, service, the caller's permission for it, freshness of the configuration,
 * drain state and limits, in this order.
 * @return the admitted request, or the refusal of the first check that fails
 */
[[nodiscard]] tl::expected<AdmittedRequest, Problem> admit(Node &node, const HttpRequest &request, const ServiceId &service);

/// Returns the key of an `Authorization: Bearer` header, or an empty string.
[[nodiscard]] std::string bearerToken(const HttpRequest &request);

/// Returns the caller's X-Request-Id if it has a valid length, or else a new id.
[[nodiscard]] RequestId requestIdOf(const HttpRequest &request);

/// Returns a header's value as an integer; nothing if the header is missing or is not an integer.
[[nodiscard]] std::optional<std::int64_t> headerNumber(const HttpRequest &request, std::string_view name);

} // namespace apricotarch
