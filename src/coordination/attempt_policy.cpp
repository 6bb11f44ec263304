#include "apricotarch/coordination/attempt_policy.h"

#include <array>
#include <cstddef>

namespace apricotarch
{

namespace
{

/// In the order of AttemptResult.
constexpr std::array<const char *, 6> EndNames = {"answered", "server_error", "not_sent", "not_executed", "broken", "silent"};
static_assert(static_cast<std::size_t>(AttemptResult::Silent) + 1 == EndNames.size());

/// In the order of NextStep.
constexpr std::array<const char *, 5> StepNames = {"deliver", "try_another", "refuse", "fail", "abort"};
static_assert(static_cast<std::size_t>(NextStep::Abort) + 1 == StepNames.size());

} // namespace

const char *attemptResultName(AttemptResult end) noexcept
{
    return EndNames.at(static_cast<std::size_t>(end));
}

const char *nextStepName(NextStep next) noexcept
{
    return StepNames.at(static_cast<std::size_t>(next));
}

NextStep chooseStepWithoutRetry(AttemptResult end, const RequestProgress &progress) noexcept
{
    if (progress.answerStarted) {
        return NextStep::Abort;
    }
    if (end == AttemptResult::ServerError) {
        return NextStep::Deliver;
    }
    return progress.mayHaveRun ? NextStep::Fail : NextStep::Refuse;
}

NextStep chooseNextStep(AttemptResult end, const RequestProgress &progress) noexcept
{
    if (end == AttemptResult::Answered) {
        return NextStep::Deliver;
    }
    const bool hasNotRun = end == AttemptResult::NotSent || end == AttemptResult::NotExecuted;
    const bool repeatable = progress.idempotent || (hasNotRun && !progress.mayHaveRun);
    const bool attemptsLeft = end == AttemptResult::NotSent || progress.attemptsSent < progress.maxAttempts;
    if (repeatable && attemptsLeft && progress.hasUntriedServer) {
        return NextStep::TryAnother;
    }
    return chooseStepWithoutRetry(end, progress);
}

} // namespace apricotarch
