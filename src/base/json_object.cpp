#include "apricotarch/base/json_object.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/json/parse.hpp>

namespace apricotarch
{

namespace json = boost::json;

JsonObjectReader::JsonObjectReader(const json::value &value, std::string step, std::string peer)
    : m_object(value.if_object())
    , m_step(std::move(step))
    , m_peer(std::move(peer))
{
    if (m_object == nullptr) {
        m_firstError = Error{ErrorId::InvalidField, m_step, m_peer, "the value must be a JSON object", Delivery::NotSent};
    }
}

const json::value *JsonObjectReader::find(std::string_view key) const noexcept
{
    return m_object == nullptr ? nullptr : m_object->if_contains(key);
}

void JsonObjectReader::reportFault(std::string_view key, std::string_view expected)
{
    if (!m_firstError) {
        const std::string detail = "field '" + std::string(key) + "' must be " + std::string(expected);
        m_firstError = Error{ErrorId::InvalidField, m_step, m_peer, detail, Delivery::NotSent};
    }
}

std::string JsonObjectReader::text(std::string_view key)
{
    const json::value *field = find(key);
    if (field == nullptr || !field->is_string()) {
        reportFault(key, "a string");
        return {};
    }
    return std::string(field->get_string());
}

std::int64_t JsonObjectReader::number(std::string_view key)
{
    const json::value *field = find(key);
    if (field == nullptr || !field->is_int64()) {
        reportFault(key, "an integer");
        return 0;
    }
    return field->get_int64();
}

std::int64_t JsonObjectReader::numberWithin(std::string_view key, NumberRange range)
{
    const std::int64_t value = number(key);
    if (value < range.lowest || value > range.highest) {
        reportFault(key, "from " + std::to_string(range.lowest) + " to " + std::to_string(range.highest));
        return range.lowest;
    }
    return value;
}

double JsonObjectReader::real(std::string_view key)
{
    const json::value *field = find(key);
    if (field == nullptr || !field->is_number() || !std::isfinite(field->to_number<double>())) {
        reportFault(key, "a finite number");
        return 0;
    }
    return field->to_number<double>();
}

bool JsonObjectReader::flag(std::string_view key)
{
    const json::value *field = find(key);
    if (field == nullptr || !field->is_bool()) {
        reportFault(key, "true or false");
        return false;
    }
    return field->get_bool();
}

const json::array &JsonObjectReader::list(std::string_view key)
{
    static const json::array Empty;
    const json::value *field = find(key);
    if (field == nullptr || !field->is_array()) {
        reportFault(key, "an array");
        return Empty;
    }
    return field->get_array();
}

const json::value &JsonObjectReader::value(std::string_view key)
{
    static const json::value Null;
    const json::value *field = find(key);
    if (field == nullptr) {
        reportFault(key, "present");
        return Null;
    }
    return *field;
}

bool JsonObjectReader::has(std::string_view key) const noexcept
{
    return find(key) != nullptr;
}

std::string JsonObjectReader::textOr(std::string_view key, std::string fallback)
{
    return has(key) ? text(key) : std::move(fallback);
}

std::int64_t JsonObjectReader::numberOr(std::string_view key, std::int64_t fallback)
{
    return has(key) ? number(key) : fallback;
}

std::int64_t JsonObjectReader::clampedNumberOr(std::string_view key, std::int64_t fallback, NumberRange range)
{
    return has(key) ? std::clamp(number(key), range.lowest, range.highest) : fallback;
}

bool JsonObjectReader::flagOr(std::string_view key, bool fallback)
{
    return has(key) ? flag(key) : fallback;
}

Result<void> JsonObjectReader::finish() const
{
    if (m_firstError) {
        return Failure(*m_firstError);
    }
    return {};
}

Result<json::value> parseJson(std::string_view text, const std::string &step, const std::string &peer)
{
    json::error_code code;
    json::value value = json::parse(text, code);
    if (code) {
        return fail(ErrorId::MalformedMessage, step, peer, "the message is not valid JSON: " + code.message());
    }
    return value;
}

} // namespace apricotarch
