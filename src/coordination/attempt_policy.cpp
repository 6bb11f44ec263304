#include "apricotarch/coordination/attempt_policy.h"

#include <array>
#include <cstddef>

namespace apricotarch
{

namespace
{

/// In the order of AttemptResult.
constexpr std::array<const char *, 6> ResultNames = {"answered", "server_error", "not_sent", "not_executed", "broken", "silent"};
static_assert(static_cast<std::size_t>(AttemptResult::Silent) + 1 == ResultNames.size());

/// In the order of NextStep.
constexpr std::array<const char *, 5> StepNames = {"deliver", "try_another", "refuse", "fail", "abort"};
static_assert(static_cast<std::size_t>(NextStep::Abort) + 1 == StepNames.size());

} // namespace

const char *attemptResultName(AttemptResult result) noexcept
{
    return ResultNames.at(static_cast<std::size_t>(result));
}

const char *nextStepName(NextStep next) noexcept
{
    return StepNames.at(static_cast<std::size_t>(next));
}

NextStep chooseStepWithoutRetry(AttemptResult result, const RequestProgress &progress) noexcept
{
    if (progress.answerStarted) {
        return NextStep::Abort;
    }
    if (result == AttemptResult::ServerError) {
        return NextStep::Deliver;
    }
    return progress.mayHaveRun ? NextStep::Fail : NextStep::Refuse;
}

NextStep chooseNextStep(AttemptResult result, const RequestProgress &progress) noexcept
{
    if (result == AttemptResult::Answered) {
        return NextStep::Deliver;
    }
    const bool hasNotRun = result == AttemptResult::NotSent || result == AttemptResult::NotExecuted;
    const bool repeatable = progress.idempotent || (hasNotRun && !progress.mayHaveRun);
    const bool attemptsLeft = result == AttemptResult::NotSent || progress.attemptsSent < progress.maxAttempts;
    if (repeatable && attemptsLeft && progress.hasUntriedServer) {
        return NextStep::TryAnother;
    }
    return chooseStepWithoutRetry(result, progress);
}

} // namespace apricotarch
