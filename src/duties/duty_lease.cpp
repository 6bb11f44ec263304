#include "apricotarch/duties/duty_lease.h"

#include <algorithm>
#include <utility>

#include "apricotarch/state/decision_log.h"

namespace apricotarch
{

namespace
{

using namespace std::chrono_literals;

/// The users tolerate two lease holders for at most 3 s. The lease lasts longer, so that no two nodes act within that time.
constexpr LeaseTimes DutyLeaseTimes{6s, 1500ms, 2s, 500ms};

/// Added to the return interval. Covers the time that a call takes to arrive after it was sent, and the drift of clocks.
constexpr Duration ReturnMargin = 250ms;

/// Interval at which a coroutine checks whether the one before it has finished. Several coroutines rarely renew at the same time: each
/// duty does so about once a second.
constexpr Duration TurnPollInterval = 5ms;

/// Interval at which release() checks whether acts have ended.
constexpr Duration ReleasePollInterval = 20ms;

constexpr std::size_t DecisionLogCapacity = 64;

LeaseTimes timesWith(Duration returnInterval)
{
    LeaseTimes times = DutyLeaseTimes;
    times.returnInterval = returnInterval + ReturnMargin;
    return times;
}

/// Exclusive use of the lease by one coroutine. Shares the flag, since coroutines may be destroyed after the lease.
class Turn
{
public:
    explicit Turn(std::shared_ptr<bool> taken)
        : m_taken(std::move(taken))
    {
        *m_taken = true;
    }

    Turn(const Turn &) = delete;
    Turn &operator=(const Turn &) = delete;

    ~Turn()
    {
        *m_taken = false;
    }

private:
    std::shared_ptr<bool> m_taken;
};

} // namespace

struct DutyLease::Impl
{
    Impl(TableStore &rows, Clock &leaseClock, Metrics &metrics, const ProcessId &self, Duration returnInterval)
        : clock(leaseClock)
        , node(self.node)
        , decisions(leaseClock, DecisionLogCapacity)
        , manager(rows, leaseClock, decisions, metrics, self, LeaseResourceId("stages"), timesWith(returnInterval))
    {
    }

    /// Waits until no other coroutine uses the lease.
    [[nodiscard]] asio::awaitable<void> waitForTurn()
    {
        while (*turnTaken) {
            co_await clock.sleep(TurnPollInterval);
        }
    }

    [[nodiscard]] bool isUsed() const
    {
        return use.use_count() > 1;
    }

    Clock &clock;
    NodeId node;
    DecisionLog decisions;
    LeaseManager manager;
    std::shared_ptr<bool> turnTaken = std::make_shared<bool>(false);
    std::shared_ptr<const bool> use = std::make_shared<const bool>(true); ///< Each DutyAuthority has a copy.
    bool released = false;
};

DutyLease::DutyLease(TableStore &rows, Clock &clock, Metrics &metrics, ProcessId self, Duration returnInterval)
    : m_impl(std::make_unique<Impl>(rows, clock, metrics, self, returnInterval))
{
}

DutyLease::~DutyLease() = default;

asio::awaitable<std::optional<DutyAuthority>> DutyLease::renew()
{
    Impl &impl = *m_impl;
    co_await impl.waitForTurn();
    const Turn turn(impl.turnTaken);
    if (!impl.released) {
        co_await impl.manager.step();
    }
    co_return authority();
}

std::optional<DutyAuthority> DutyLease::authority() const
{
    const std::optional<Authority> held = m_impl->manager.authority();
    if (!held || m_impl->released) {
        return std::nullopt;
    }
    const Duration remaining = std::max(Duration::zero(), held->expiresAt - m_impl->clock.now());
    return DutyAuthority{{m_impl->node, held->token, held->expiresAt}, held->lease, remaining, m_impl->use};
}

asio::awaitable<void> DutyLease::release()
{
    Impl &impl = *m_impl;
    impl.released = true;
    co_await impl.waitForTurn();
    const Turn turn(impl.turnTaken);
    // A call that is still in progress would arrive after those of the next holder.
    while (impl.isUsed() && impl.manager.authority()) {
        co_await impl.clock.sleep(ReleasePollInterval);
    }
    co_await impl.manager.release();
}

} // namespace apricotarch
