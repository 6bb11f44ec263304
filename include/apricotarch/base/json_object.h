#pragma once

/**
 * @file
 * Checked access to the fields of JSON objects. The first missing or mistyped field is recorded as an error with step and peer.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "apricotarch/base/error.h"

namespace apricotarch
{

/// The supported values of a number, both ends included.
struct NumberRange
{
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

/// Reads the fields of one object. Reading a missing or mistyped field returns its type's zero or empty value.
class JsonObjectReader
{
public:
    /**
     * @param value expected to be an object; must outlive the reader
     * @param step operation, for the error
     * @param peer sender of the object, for the error
     */
    JsonObjectReader(const boost::json::value &value, std::string step, std::string peer);
    JsonObjectReader(boost::json::value &&value, std::string step, std::string peer) = delete; ///< The value must outlive the reader.

    // ---- required fields ----

    [[nodiscard]] std::string text(std::string_view key);
    [[nodiscard]] std::int64_t number(std::string_view key);
    [[nodiscard]] std::int64_t numberWithin(std::string_view key, NumberRange range);
    [[nodiscard]] double real(std::string_view key); ///< Finite.
    [[nodiscard]] bool flag(std::string_view key);
    [[nodiscard]] const boost::json::array &list(std::string_view key);
    [[nodiscard]] const boost::json::value &value(std::string_view key);

    // ---- optional fields ----

    [[nodiscard]] bool has(std::string_view key) const noexcept;
    [[nodiscard]] std::string textOr(std::string_view key, std::string fallback);
    [[nodiscard]] std::int64_t numberOr(std::string_view key, std::int64_t fallback);
    /// Returns the nearest number of the range.
    [[nodiscard]] std::int64_t clampedNumberOr(std::string_view key, std::int64_t fallback, NumberRange range);
    [[nodiscard]] bool flagOr(std::string_view key, bool fallback);

    // ---- outcome ----

    /// Records that a field is not as expected, unless an error is already recorded. @param expected completes "field 'KEY' must be"
    void reportFault(std::string_view key, std::string_view expected);

    /// Returns success, or the first recorded error as InvalidField.
    [[nodiscard]] Result<void> finish() const;

    /// Returns @p value, or the first recorded error as InvalidField.
    template<typename T>
    [[nodiscard]] Result<T> finish(T value) const
    {
        if (m_firstError) {
            return Failure(*m_firstError);
        }
        return value;
    }

private:
    [[nodiscard]] const boost::json::value *find(std::string_view key) const noexcept;

    const boost::json::object *m_object = nullptr;
    std::string m_step;
    std::string m_peer;
    std::optional<Error> m_firstError;
};

/// Parses JSON. @return the value, or MalformedMessage
[[nodiscard]] Result<boost::json::value> parseJson(std::string_view text, const std::string &step, const std::string &peer);

} // namespace apricotarch
