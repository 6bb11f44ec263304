#pragma once

/**
 * @file
 * Interfaces of the platform's services that coordination uses. Tests implement them with fakes.
 */

#include <optional>
#include <string>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/error.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/state/member_table.h"

namespace apricotarch
{

/// Identifies one row of the table service.
struct RowKey
{
    std::string table;
    std::string key;

    auto operator<=>(const RowKey &) const = default;
};

/// A row's text and version.
struct Row
{
    StorePosition version;
    std::string text;
};

/// A condition on the version of a row other than the one that is written.
struct RowGuard
{
    RowKey key;
    StorePosition version;
};

/// A conditional write of one row.
struct RowWrite
{
    RowKey key;
    StorePosition expected; ///< Position that the row must have; without a version if the row must not exist.
    std::string text;
    std::optional<RowGuard> guard; ///< Another row whose version is checked in the same transaction.
};

/// The transactional table service.
class TableStore
{
public:
    TableStore() = default;
    TableStore(const TableStore &) = delete;
    TableStore &operator=(const TableStore &) = delete;
    virtual ~TableStore() = default;

    /// Reads a row. @return the row; nothing if there is none; StoreUnavailable
    [[nodiscard]] virtual asio::awaitable<Result<std::optional<Row>>> read(RowKey key) = 0;

    /**
     * Writes a row if the conditions of the write are met.
     * @return the new position, which is of a later incarnation than the expected one if the service was restored meanwhile; Conflict if a
     * condition is not met, and the row was certainly not written; StoreUnavailable, with Delivery::MaybeSent if the write may have taken
     * effect or may still do so
     */
    [[nodiscard]] virtual asio::awaitable<Result<StorePosition>> write(RowWrite write) = 0;

    /// Latest incarnation of the service that an answer has reported; of a service that is never restored, the first one.
    [[nodiscard]] virtual StoreIncarnation incarnation() const
    {
        return {};
    }
};

/// The object store. Objects are named by the hash of their content, so writing an object again has no effect.
class ObjectStore
{
public:
    ObjectStore() = default;
    ObjectStore(const ObjectStore &) = delete;
    ObjectStore &operator=(const ObjectStore &) = delete;
    virtual ~ObjectStore() = default;

    [[nodiscard]] virtual asio::awaitable<Result<std::string>> get(Digest digest) = 0;
    [[nodiscard]] virtual asio::awaitable<Result<void>> put(Digest digest, std::string body) = 0;
};

/// The list of VMs. It may lag behind their actual state.
class VmDirectory
{
public:
    VmDirectory() = default;
    VmDirectory(const VmDirectory &) = delete;
    VmDirectory &operator=(const VmDirectory &) = delete;
    virtual ~VmDirectory() = default;

    [[nodiscard]] virtual asio::awaitable<Result<std::vector<VmEntry>>> list() = 0;
};

} // namespace apricotarch
