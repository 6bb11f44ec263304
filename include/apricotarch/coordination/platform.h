#pragma once

/**
 * @file
 * The platform as coordination sees it. Tests put fakes in its place.
 */

#include <optional>
#include <string>
#include <vector>

#include "apricotarch/base/clock.h"
#include "apricotarch/base/error.h"
#include "apricotarch/base/ids.h"
#include "apricotarch/state/members.h"

namespace apricotarch
{

/// Names one row of the table service.
struct RowKey
{
    std::string table;
    std::string key;

    auto operator<=>(const RowKey &) const = default;
};

/// A row's text and version.
struct Row
{
    RowVersion version;
    std::string text;
};

/// A condition on a row that a write does not change.
struct RowGuard
{
    RowKey key;
    RowVersion version;
};

/// A conditional write of one row.
struct RowWrite
{
    RowKey key;
    RowVersion expected; ///< Version the row must have; 0 means that it must not exist.
    std::string text;
    std::optional<RowGuard> guard; ///< Another row that must be unchanged, in the same transaction.
};

/// The transactional table service.
class TableStore
{
public:
    TableStore() = default;
    TableStore(const TableStore &) = delete;
    TableStore &operator=(const TableStore &) = delete;
    virtual ~TableStore() = default;

    /// Reads a row. @return the row, nothing where there is none, or StoreUnavailable
    [[nodiscard]] virtual asio::awaitable<Result<std::optional<Row>>> read(RowKey key) = 0;

    /**
     * Writes a row under its conditions.
     * @return the new version; Conflict where a condition does not hold (certainly not written); StoreUnavailable with
     *         Delivery::MaybeSent where the write may have taken effect, or may still do so
     */
    [[nodiscard]] virtual asio::awaitable<Result<RowVersion>> write(RowWrite write) = 0;
};

/// The object store. Objects are named by the hash of their content, so that writing one twice does no harm.
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

/// The lagging list of VMs.
class VmList
{
public:
    VmList() = default;
    VmList(const VmList &) = delete;
    VmList &operator=(const VmList &) = delete;
    virtual ~VmList() = default;

    [[nodiscard]] virtual asio::awaitable<Result<std::vector<VmEntry>>> list() = 0;
};

} // namespace apricotarch
