#pragma once

/**
 * @file
 * A fake of the platform's table service with configurable delays, lost requests, lost answers and outages.
 */

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "apricotarch/coordination/platform_services.h"
#include "fakes/manual_clock.h"
#include "platform_store.h"

namespace apricotarch::fakes
{

/// The fault that affects one request.
enum class TableFault {
    None,
    Unreachable, ///< The request is certainly not sent.
    RequestLost, ///< The request is sent, has no effect and is not answered.
    RequestLate, ///< The request takes effect late and is not answered.
    AnswerLost, ///< The request takes effect, but its answer is lost.
};

/// The fault and the delays of one request.
struct TableBehavior
{
    TableFault fault = TableFault::None;
    Duration requestDelay{0}; ///< Time from the call to the effect.
    Duration answerDelay{0}; ///< Time from the effect to the answer.
};

/// One process's connection to a shared store.
class FakeTable final : public TableStore
{
public:
    /// Selects the behavior of the next request. @param isWrite whether it is a write
    using Behavior = std::function<TableBehavior(bool isWrite)>;

    FakeTable(standins::PlatformStore &store, TestLoop &loop)
        : m_store(store)
        , m_loop(loop)
    {
    }

    Behavior behavior = [](bool) {
        return TableBehavior();
    };

    [[nodiscard]] asio::awaitable<Result<std::optional<Row>>> read(RowKey key) override
    {
        const TableBehavior current = behavior(false);
        co_await m_loop.clock.sleep(current.requestDelay);
        if (current.fault != TableFault::None) {
            co_return unavailable(current.fault);
        }
        std::optional<Row> row = m_store.read(key);
        co_await m_loop.clock.sleep(current.answerDelay);
        co_return row;
    }

    [[nodiscard]] asio::awaitable<Result<StorePosition>> write(RowWrite write) override
    {
        const TableBehavior current = behavior(true);
        if (current.fault == TableFault::RequestLate) {
            m_loop.start(applyLater(write, current.requestDelay));
            co_await m_loop.clock.sleep(current.answerDelay);
            co_return unavailable(current.fault);
        }
        co_await m_loop.clock.sleep(current.requestDelay);
        if (current.fault == TableFault::Unreachable || current.fault == TableFault::RequestLost) {
            co_return unavailable(current.fault);
        }
        StorePosition version;
        const bool isWritten = m_store.write(write, version) == standins::StoreOutcome::Done;
        co_await m_loop.clock.sleep(current.answerDelay);
        if (current.fault == TableFault::AnswerLost) {
            co_return unavailable(current.fault);
        }
        if (!isWritten) {
            co_return fail(ErrorId::Conflict, "table.write", "fake", "a condition of the write is not met");
        }
        co_return version;
    }

    [[nodiscard]] StoreIncarnation incarnation() const override
    {
        return m_store.incarnation();
    }

private:
    asio::awaitable<void> applyLater(RowWrite write, Duration delay)
    {
        co_await m_loop.clock.sleep(delay);
        StorePosition version;
        (void)m_store.write(write, version);
    }

    static Failure unavailable(TableFault fault)
    {
        const Delivery delivery = fault == TableFault::Unreachable ? Delivery::NotSent : Delivery::MaybeSent;
        return fail(ErrorId::StoreUnavailable, "table", "fake", "injected fault", delivery);
    }

    standins::PlatformStore &m_store;
    TestLoop &m_loop;
};

/// An object store in memory.
class FakeObjects final : public ObjectStore
{
public:
    bool outage = false;

    [[nodiscard]] asio::awaitable<Result<std::string>> get(Digest digest) override
    {
        const auto found = m_objects.find(digest);
        if (outage || found == m_objects.end()) {
            co_return fail(outage ? ErrorId::StoreUnavailable : ErrorId::NotFound, "objects.get", "fake", "the object is not available");
        }
        co_return found->second;
    }

    [[nodiscard]] asio::awaitable<Result<void>> put(Digest digest, std::string body) override
    {
        if (outage) {
            co_return fail(ErrorId::StoreUnavailable, "objects.put", "fake", "simulated outage");
        }
        m_objects[digest] = std::move(body);
        co_return Result<void>();
    }

private:
    std::map<Digest, std::string> m_objects;
};

} // namespace apricotarch::fakes
