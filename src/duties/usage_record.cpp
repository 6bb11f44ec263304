#include "apricotarch/duties/usage_record.h"

#include <algorithm>

#include <boost/json/serialize.hpp>

#include "apricotarch/base/compression.h"
#include "apricotarch/base/json_object.h"

namespace apricotarch
{

namespace
{

/// Shorter counts are readable in the store, longer ones are compressed.
constexpr std::size_t MaxPlainBytes = 4'000;

/// Space for the first line of a row.
constexpr std::size_t HeadBytes = 400;

/// Largest counts that are accepted: 37,000 customers with names of 64 bytes.
constexpr std::size_t MaxCountsBytes = 4UL * 1024 * 1024;

constexpr const char *DecodeStep = "usage_record.decode";

std::string encodeCounts(const std::map<CustomerId, std::int64_t> &requests)
{
    boost::json::object counts;
    for (const auto &[customer, count] : requests) {
        counts[customer.value()] = count;
    }
    return boost::json::serialize(counts);
}

} // namespace

std::vector<std::string> encodeUsageRecord(const UsageRecord &record, const std::string &attempt, std::size_t maxRowBytes)
{
    std::string body = encodeCounts(record.report.requests);
    const bool compressed = body.size() > MaxPlainBytes;
    if (compressed) {
        body = compressText(body);
    }
    const std::size_t partBytes = maxRowBytes - HeadBytes;
    const std::size_t rows = std::max<std::size_t>(1, (body.size() + partBytes - 1) / partBytes);
    const boost::json::object head{{"window", record.report.window},
        {"closedUpTo", record.closedUpTo},
        {"rows", static_cast<std::int64_t>(rows)},
        {"attempt", attempt},
        {"compressed", compressed}};
    const std::string headLine = boost::json::serialize(head) + '\n';
    std::vector<std::string> texts;
    for (std::size_t part = 0; part < rows; ++part) {
        texts.push_back(headLine + body.substr(part * partBytes, partBytes));
    }
    return texts;
}

Result<UsageRow> decodeUsageRow(const std::string &text, const std::string &key)
{
    const std::size_t headEnd = text.find('\n');
    const Result<boost::json::value> head = parseJson(text.substr(0, headEnd), DecodeStep, key);
    if (!head) {
        return Failure(head.error());
    }
    JsonObjectReader reader(*head, DecodeStep, key);
    UsageRow row;
    row.head.window = reader.number("window");
    row.head.closedUpTo = reader.number("closedUpTo");
    row.head.rows = reader.numberWithin("rows", {1, 1000});
    row.head.attempt = reader.text("attempt");
    row.head.compressed = reader.flag("compressed");
    if (headEnd != std::string::npos) {
        row.body = text.substr(headEnd + 1);
    }
    return reader.finish(std::move(row));
}

Result<UsageRecord> joinUsageRows(const std::vector<UsageRow> &rows, const std::string &key)
{
    const UsageRowHead &head = rows.front().head;
    std::string body;
    for (const UsageRow &row : rows) {
        if (row.head.attempt != head.attempt || row.head.window != head.window) {
            return fail(ErrorId::InvalidField, DecodeStep, key, "the rows belong to different records");
        }
        body += row.body;
    }
    if (head.compressed) {
        Result<std::string> text = decompressText(body, MaxCountsBytes, DecodeStep, key);
        if (!text) {
            return Failure(text.error());
        }
        body = std::move(*text);
    }
    const Result<boost::json::value> counts = parseJson(body, DecodeStep, key);
    if (!counts) {
        return Failure(counts.error());
    }
    if (!counts->is_object()) {
        return fail(ErrorId::InvalidField, DecodeStep, key, "the counts must be an object");
    }
    UsageRecord record;
    record.report.window = head.window;
    record.closedUpTo = head.closedUpTo;
    JsonObjectReader reader(*counts, DecodeStep, key);
    for (const auto &entry : counts->get_object()) {
        record.report.requests[CustomerId(std::string(entry.key()))] = reader.number(entry.key());
    }
    return reader.finish(std::move(record));
}

std::string usageRowKey(std::int64_t window, std::size_t part)
{
    const std::string slot = std::to_string(window % UsageRingSlots);
    return part == 0 ? slot : slot + '.' + std::to_string(part);
}

} // namespace apricotarch
