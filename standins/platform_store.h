#pragma once

/**
 * @file
 * A stand-in for the platform's services: transactional table, object store and lagging VM list, with switches for faults.
 */

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/coordination/platform.h"

namespace apricotarch::standins
{

/// Faults that can be switched on.
struct PlatformFaults
{
    bool outage = false; ///< Every request fails.
    std::chrono::milliseconds delay{0}; ///< Before every answer.
    int loseAnswers = 0; ///< So many writes take effect and get no answer.
};

/// Requests a second that the services carry; 0 for no limit.
struct PlatformLimits
{
    double writesPerSecond = 0;
    double readsPerSecond = 0;
};

/// How a write ended inside the store.
enum class StoreOutcome {
    Done,
    Conflict,
    RateLimited,
};

/// Thread-safe store.
class PlatformStore
{
public:
    PlatformStore(const Clock &clock, PlatformLimits limits);

    // ---- table ----

    [[nodiscard]] std::optional<Row> read(const RowKey &key) const;

    /// Applies a conditional write. @param version set to the new version where done
    [[nodiscard]] StoreOutcome write(const RowWrite &write, RowVersion &version);

    /// Whether the read limit allows another read now.
    [[nodiscard]] bool takeRead();

    // ---- objects ----

    [[nodiscard]] std::optional<std::string> object(const std::string &name) const;
    void putObject(const std::string &name, std::string body);

    // ---- VM list ----

    /// Sets the list; readers see it after the lag.
    void setVms(std::vector<VmEntry> vms, std::chrono::milliseconds lag);
    [[nodiscard]] std::vector<VmEntry> vms() const;

    // ---- faults ----

    void setFaults(const PlatformFaults &faults);
    [[nodiscard]] PlatformFaults faults() const;

    /// Whether the answer to a write that took effect is to be lost; counts it.
    [[nodiscard]] bool loseThisAnswer();

    /// Writes done so far.
    [[nodiscard]] std::int64_t writes() const;

private:
    /// A bucket that fills at a rate and holds one second's worth.
    struct Bucket
    {
        double tokens = 0;
        TimePoint at;
        [[nodiscard]] bool take(double rate, TimePoint now);
    };

    [[nodiscard]] RowVersion versionOf(const RowKey &key) const;

    const Clock &m_clock;
    PlatformLimits m_limits;
    mutable std::mutex m_mutex;
    std::map<RowKey, Row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::vector<VmEntry> m_vms;
    std::vector<VmEntry> m_nextVms;
    TimePoint m_vmsChangeAt;
    PlatformFaults m_faults;
    Bucket m_readBucket;
    Bucket m_writeBucket;
    std::int64_t m_writes = 0;
};

} // namespace apricotarch::standins
