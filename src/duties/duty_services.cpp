#include "apricotarch/duties/duty_services.h"

namespace apricotarch
{

const char *outcomeName(DutyCallOutcome outcome) noexcept
{
    switch (outcome) {
    case DutyCallOutcome::Accepted:
        return "accepted";
    case DutyCallOutcome::NoneAvailable:
        return "none_available";
    case DutyCallOutcome::RateLimited:
        return "rate_limited";
    case DutyCallOutcome::Rejected:
        return "rejected";
    case DutyCallOutcome::Unavailable:
        return "unavailable";
    case DutyCallOutcome::Unanswered:
        return "unanswered";
    }
    return "unknown";
}

} // namespace apricotarch
