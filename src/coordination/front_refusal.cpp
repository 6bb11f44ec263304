#include "apricotarch/coordination/front_refusal.h"

#include <array>
#include <cstddef>

namespace apricotarch
{

namespace
{

/// In the order of RefusalReason.
constexpr std::array<RefusalResponse, 10> Responses = {{
    {503, "no_configuration", true},
    {404, "no_route", false},
    {401, "unauthenticated", false},
    {503, "no_server", true},
    {503, "too_late", true},
    {503, "content_crashes_servers", true},
    {503, "servers_full", true},
    {503, "overloaded", true},
    {503, "unknown_version", true},
    {503, "node_stopping", true},
}};
static_assert(static_cast<std::size_t>(RefusalReason::NodeStopping) + 1 == Responses.size());

} // namespace

const RefusalResponse &refusalResponse(RefusalReason reason) noexcept
{
    return Responses.at(static_cast<std::size_t>(reason));
}

} // namespace apricotarch
