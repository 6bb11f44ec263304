#include "apricotarch/state/configuration.h"

#include <algorithm>

namespace apricotarch
{

const ServiceSpec *Configuration::service(const ServiceId &id) const noexcept
{
    const auto found = std::ranges::find(services, id, &ServiceSpec::id);
    return found == services.end() ? nullptr : &*found;
}

const CallerSpec *Configuration::callerByKey(std::string_view keySha256) const noexcept
{
    const auto found = std::ranges::find(callers, keySha256, &CallerSpec::keySha256);
    return found == callers.end() ? nullptr : &*found;
}

bool mayUse(const CallerSpec &caller, const ServiceId &service) noexcept
{
    return std::ranges::find(caller.services, service) != caller.services.end();
}

} // namespace apricotarch
