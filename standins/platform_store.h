#pragma once

/**
 * @file
 * Stand-in for the platform's services: a transactional table, an object store and a VM list that lags behind, with fault injection.
 */

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/coordination/platform_services.h"

namespace apricotarch::standins
{

/// Injected faults.
struct PlatformFaults
{
    bool outage = false; ///< Every request fails.
    std::chrono::milliseconds delay{0}; ///< Delay of every answer.
    int answersToDrop = 0; ///< Number of subsequent writes that take effect but are not answered.
};

/// Rate limits of the services, in requests per second; 0 for no limit.
struct PlatformLimits
{
    double writesPerSecond = 0;
    double readsPerSecond = 0;
};

/// Outcome of a write.
enum class StoreOutcome {
    Done,
    Conflict, ///< The row or the guard row has another version than expected.
    RateLimited,
};

/// Thread-safe in-memory store of rows, objects and VMs.
class PlatformStore
{
public:
    PlatformStore(const Clock &clock, PlatformLimits limits);

    // ---- table ----

    [[nodiscard]] std::optional<Row> read(const RowKey &key) const;

    /// Applies a conditional write. @param version set to the new version on success
    [[nodiscard]] StoreOutcome write(const RowWrite &write, StorePosition &version);

    /// Keeps a copy of the rows for restoreRows().
    void copyRows();

    /// Replaces the rows by the copy and begins a new incarnation, whose versions continue from those of the copy.
    void restoreRows();

    [[nodiscard]] StoreIncarnation incarnation() const;

    /// Returns whether the rate limit allows another read now, and counts the read if so.
    [[nodiscard]] bool tryTakeRead();

    // ---- objects ----

    [[nodiscard]] std::optional<std::string> object(const std::string &name) const;
    void putObject(const std::string &name, std::string body);

    // ---- VM list ----

    /// Replaces the VM list. Readers receive the new list after @p lag.
    void setVms(std::vector<VmEntry> vms, std::chrono::milliseconds lag);
    [[nodiscard]] std::vector<VmEntry> vms() const;

    // ---- faults ----

    void setFaults(const PlatformFaults &faults);
    [[nodiscard]] PlatformFaults faults() const;

    /// Returns whether to drop the answer to a write that took effect, and counts it as dropped if so.
    [[nodiscard]] bool dropNextAnswer();

    /// Returns the number of successful writes.
    [[nodiscard]] std::int64_t writes() const;

private:
    /// Token bucket with a capacity of one second at its rate.
    struct TokenBucket
    {
        double tokens = 0;
        TimePoint at;
        [[nodiscard]] bool tryTake(double rate, TimePoint now);
    };

    /// Whether a row has the version of a position; its incarnation is unknown to writers of the service.
    [[nodiscard]] bool hasVersion(const RowKey &key, const StorePosition &position) const;

    const Clock &m_clock;
    PlatformLimits m_limits;
    mutable std::mutex m_mutex;
    std::map<RowKey, Row> m_rows;
    std::map<RowKey, Row> m_copiedRows;
    StoreIncarnation m_incarnation;
    std::map<std::string, std::string> m_objects;
    std::vector<VmEntry> m_vms;
    std::vector<VmEntry> m_nextVms;
    TimePoint m_vmsChangeAt;
    PlatformFaults m_faults;
    TokenBucket m_readBucket;
    TokenBucket m_writeBucket;
    std::int64_t m_writes = 0;
};

} // namespace apricotarch::standins
