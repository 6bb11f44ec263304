#include "apricotarch/state/stream_origin_rows.h"

#include <map>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "apricotarch/base/json_object.h"

namespace apricotarch
{

namespace json = boost::json;

namespace
{

constexpr const char *StreamsStep = "stream_origins.decode";
constexpr const char *VersionsStep = "service_versions.decode";
constexpr const char *Table = "table";

} // namespace

std::string encodeStreamRecords(const std::vector<StreamRecord> &records)
{
    std::map<std::pair<ServiceId, SoftwareVersion>, json::array> streams;
    for (const StreamRecord &record : records) {
        streams[{record.origin.service, record.origin.version}].push_back(record.stream.value());
    }
    json::array origins;
    for (auto &[origin, keys] : streams) {
        origins.push_back(
            json::object{{"service", origin.first.value()}, {"version", origin.second.value()}, {"streams", std::move(keys)}});
    }
    return json::serialize(json::object{{"origins", std::move(origins)}});
}

Result<std::vector<StreamRecord>> decodeStreamRecords(const std::string &text)
{
    const Result<json::value> value = parseJson(text, StreamsStep, Table);
    if (!value) {
        return Failure(value.error());
    }
    JsonObjectReader object(*value, StreamsStep, Table);
    std::vector<StreamRecord> records;
    for (const json::value &entry : object.list("origins")) {
        JsonObjectReader reader(entry, StreamsStep, Table);
        const StreamOrigin origin{ServiceId(reader.text("service")), SoftwareVersion(reader.text("version"))};
        for (const json::value &stream : reader.list("streams")) {
            if (stream.is_int64()) {
                records.push_back({StreamKey(stream.get_int64()), origin});
            } else {
                reader.reportFault("streams", "a list of integers");
            }
        }
        if (const Result<void> checked = reader.finish(); !checked) {
            return Failure(checked.error());
        }
    }
    return object.finish(std::move(records));
}

std::string encodeVersionSet(const std::set<SoftwareVersion> &versions)
{
    json::array names;
    for (const SoftwareVersion &version : versions) {
        names.push_back(json::string(version.value()));
    }
    return json::serialize(json::object{{"versions", std::move(names)}});
}

Result<std::set<SoftwareVersion>> decodeVersionSet(const std::string &text)
{
    const Result<json::value> value = parseJson(text, VersionsStep, Table);
    if (!value) {
        return Failure(value.error());
    }
    JsonObjectReader object(*value, VersionsStep, Table);
    std::set<SoftwareVersion> versions;
    for (const json::value &name : object.list("versions")) {
        if (name.is_string()) {
            versions.insert(SoftwareVersion(std::string(name.get_string())));
        } else {
            object.reportFault("versions", "a list of texts");
        }
    }
    return object.finish(std::move(versions));
}

} // namespace apricotarch
