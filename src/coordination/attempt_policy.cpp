#include "apricotarch/coordination/attempt_policy.h"

namespace apricotarch
{

NextStep withoutBudget(AttemptEnd end, const AttemptFacts &facts) noexcept
{
    if (facts.answering) {
        return NextStep::Abort;
    }
    if (end == AttemptEnd::ServerError) {
        return NextStep::Deliver;
    }
    return facts.mayHaveRun ? NextStep::Fail : NextStep::Refuse;
}

NextStep nextStep(AttemptEnd end, const AttemptFacts &facts) noexcept
{
    if (end == AttemptEnd::Answered) {
        return NextStep::Deliver;
    }
    const bool harmless = end == AttemptEnd::NotSent || end == AttemptEnd::NotExecuted;
    const bool repeatable = facts.idempotent || (harmless && !facts.mayHaveRun);
    const bool attemptsLeft = end == AttemptEnd::NotSent || facts.sends < facts.maxAttempts;
    if (repeatable && attemptsLeft && facts.anotherServer) {
        return NextStep::TryAnother;
    }
    return withoutBudget(end, facts);
}

} // namespace apricotarch
