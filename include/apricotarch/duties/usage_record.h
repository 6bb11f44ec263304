#pragma once

/**
 * @file
 * Records of usage reports in the platform's store. A report is recorded before it is sent, so that each repeat is exact.
 */

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "apricotarch/base/error.h"
#include "apricotarch/duties/duty_services.h"

namespace apricotarch
{

/// Largest text of a row. The platform accepts 65,536 bytes, of which the encoding of the text takes a quarter.
inline constexpr std::size_t MaxUsageRowBytes = 48'000;

/// Number of rows in which records are kept; a record replaces the one of this many windows before.
inline constexpr std::int64_t UsageRingSlots = 16;

/// A recorded report.
struct UsageRecord
{
    UsageReport report;
    /// All windows up to this one are confirmed or will not be reported, as far as the writer knew.
    std::int64_t closedUpTo = 0;
    bool readable = true; ///< Whether the counts are known. A report whose counts are not known must not be sent with others.
};

/// The first line of a row.
struct UsageRowHead
{
    std::int64_t window = 0;
    std::int64_t closedUpTo = 0;
    std::int64_t rows = 1; ///< Number of rows of the record.
    std::string attempt; ///< Identifies the write; the same in all rows of a record.
    bool compressed = false;
};

/// A row of a record.
struct UsageRow
{
    UsageRowHead head;
    std::string body; ///< Part of the counts, as JSON that may be compressed.
};

/**
 * Encodes a record. Large counts are compressed, and split into several rows if that does not suffice.
 * @param record the record
 * @param attempt unique identifier of the write
 * @param maxRowBytes largest text of a row
 * @return the texts of the rows; a reader begins with the first one, so it must be written last
 */
[[nodiscard]] std::vector<std::string> encodeUsageRecord(
    const UsageRecord &record, const std::string &attempt, std::size_t maxRowBytes = MaxUsageRowBytes);

/// Decodes one row. @param key key of the row, for errors @return the row, or MalformedMessage or InvalidField
[[nodiscard]] Result<UsageRow> decodeUsageRow(const std::string &text, const std::string &key);

/// Joins the rows of a record. @return the record, or MalformedMessage or InvalidField if a row is of another record
[[nodiscard]] Result<UsageRecord> joinUsageRows(const std::vector<UsageRow> &rows, const std::string &key);

/// Returns the key of a row of a record. @param part index of the row in the record
[[nodiscard]] std::string usageRowKey(std::int64_t window, std::size_t part);

} // namespace apricotarch
