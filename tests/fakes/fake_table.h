#pragma once

/**
 * @file
 * The platform's table as one process reaches it: with delays, lost requests, lost answers and outages on demand.
 */

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "apricotarch/coordination/platform.h"
#include "fakes/manual_clock.h"
#include "platform_store.h"

namespace apricotarch::fakes
{

/// What happens to one request.
enum class TableFault {
    None,
    Unreachable, ///< Certainly not sent.
    RequestLost, ///< Sent, without effect, and no answer.
    RequestLate, ///< No answer, and the effect comes later.
    AnswerLost, ///< Effect, and no answer.
};

/// How one request goes.
struct TableCourse
{
    TableFault fault = TableFault::None;
    Duration before{0}; ///< From the call to the effect.
    Duration after{0}; ///< From the effect to the answer.
};

/// One process's way to a shared store.
class FakeTable final : public TableStore
{
public:
    /// Decides how the next request goes. @param isWrite whether it is a write
    using Course = std::function<TableCourse(bool isWrite)>;

    FakeTable(standins::PlatformStore &store, Bench &bench)
        : m_store(store)
        , m_bench(bench)
    {
    }

    Course course = [](bool) {
        return TableCourse();
    };

    [[nodiscard]] asio::awaitable<Result<std::optional<Row>>> read(RowKey key) override
    {
        const TableCourse now = course(false);
        co_await m_bench.clock.sleep(now.before);
        if (now.fault != TableFault::None) {
            co_return unavailable(now.fault);
        }
        std::optional<Row> row = m_store.read(key);
        co_await m_bench.clock.sleep(now.after);
        co_return row;
    }

    [[nodiscard]] asio::awaitable<Result<RowVersion>> write(RowWrite write) override
    {
        const TableCourse now = course(true);
        if (now.fault == TableFault::RequestLate) {
            m_bench.start(applyLater(write, now.before));
            co_await m_bench.clock.sleep(now.after);
            co_return unavailable(now.fault);
        }
        co_await m_bench.clock.sleep(now.before);
        if (now.fault == TableFault::Unreachable || now.fault == TableFault::RequestLost) {
            co_return unavailable(now.fault);
        }
        RowVersion version;
        const bool done = m_store.write(write, version) == standins::StoreOutcome::Done;
        co_await m_bench.clock.sleep(now.after);
        if (now.fault == TableFault::AnswerLost) {
            co_return unavailable(now.fault);
        }
        if (!done) {
            co_return fail(ErrorId::Conflict, "table.write", "fake", "a condition does not hold");
        }
        co_return version;
    }

private:
    asio::awaitable<void> applyLater(RowWrite write, Duration delay)
    {
        co_await m_bench.clock.sleep(delay);
        RowVersion version;
        (void)m_store.write(write, version);
    }

    static Failure unavailable(TableFault fault)
    {
        const Delivery delivery = fault == TableFault::Unreachable ? Delivery::NotSent : Delivery::MaybeSent;
        return fail(ErrorId::StoreUnavailable, "table", "fake", "fault", delivery);
    }

    standins::PlatformStore &m_store;
    Bench &m_bench;
};

/// Objects in memory.
class FakeObjects final : public ObjectStore
{
public:
    bool outage = false;

    [[nodiscard]] asio::awaitable<Result<std::string>> get(Digest digest) override
    {
        const auto found = m_objects.find(digest);
        if (outage || found == m_objects.end()) {
            co_return fail(outage ? ErrorId::StoreUnavailable : ErrorId::NotFound, "objects.get", "fake", "no object");
        }
        co_return found->second;
    }

    [[nodiscard]] asio::awaitable<Result<void>> put(Digest digest, std::string body) override
    {
        if (outage) {
            co_return fail(ErrorId::StoreUnavailable, "objects.put", "fake", "outage");
        }
        m_objects[digest] = std::move(body);
        co_return Result<void>();
    }

private:
    std::map<Digest, std::string> m_objects;
};

} // namespace apricotarch::fakes
