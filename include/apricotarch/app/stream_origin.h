#pragma once

/**
 * @file
 * Finds the software version at which a stream began that a caller resumes.
 */

#include <boost/asio/awaitable.hpp>

#include "apricotarch/app/front_state.h"

namespace apricotarch
{

/// Returns how long after its first event a stream of a service may be resumed: twice the longest time limit of the service's routes.
[[nodiscard]] Duration streamLifetime(const RoutingPlan &plan, const ServiceId &service);

/**
 * Returns the only version that may have begun a stream of a service, if this node knows that there is only one.
 * @param otherVersions further versions that may have begun streams
 * @param isComplete whether these and the versions that this node has seen are all versions of the lifetime of a stream
 */
[[nodiscard]] std::optional<SoftwareVersion> findOnlyVersion(
    FrontState &state, const ServiceId &service, const VersionSet &otherVersions = {}, bool isComplete = false);

/// Records where a request's stream began. @param resumed the request whose stream it resumes; empty if it begins one
void recordStreamOrigin(FrontState &state, const RequestId &request, const RequestId &resumed, StreamOrigin origin);

/**
 * Finds where a stream began.
 * @param service service that serves the stream if nothing else is known
 * @param resumed request that brought the stream's first event; empty if the caller names none
 * @return the service and version; nothing if more than one version may have begun the stream, or if that is not known because neither the
 * store nor enough other nodes answer
 */
[[nodiscard]] asio::awaitable<std::optional<StreamOrigin>> findStreamOrigin(FrontState &state, ServiceId service, RequestId resumed);

} // namespace apricotarch
