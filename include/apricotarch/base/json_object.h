#pragma once

/**
 * @file
 * Checked reading of JSON objects: the first missing or mistyped field is remembered with step and peer.
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

/// Reads the fields of one object. A faulty field reads as its type's zero.
class JsonObject
{
public:
    /**
     * @param value what should be an object; must outlive the reader
     * @param step for the error
     * @param peer for the error
     */
    JsonObject(const boost::json::value &value, std::string step, std::string peer);
    JsonObject(boost::json::value &&value, std::string step, std::string peer) = delete; ///< The value must outlive the reader.

    // ---- required fields ----

    [[nodiscard]] std::string text(std::string_view key);
    [[nodiscard]] std::int64_t number(std::string_view key);
    [[nodiscard]] double real(std::string_view key);
    [[nodiscard]] bool flag(std::string_view key);
    [[nodiscard]] const boost::json::array &list(std::string_view key);
    [[nodiscard]] const boost::json::value &value(std::string_view key);

    // ---- optional fields ----

    [[nodiscard]] bool has(std::string_view key) const noexcept;
    [[nodiscard]] std::string textOr(std::string_view key, std::string fallback);
    [[nodiscard]] std::int64_t numberOr(std::string_view key, std::int64_t fallback);
    [[nodiscard]] bool flagOr(std::string_view key, bool fallback);

    // ---- outcome ----

    /// Notes a fault of one field, unless one is noted already.
    void fault(std::string_view key, std::string_view expected);

    /// Nothing, or the first fault as InvalidField.
    [[nodiscard]] Result<void> finish() const;

    /// @p value if there was no fault.
    template<typename T>
    [[nodiscard]] Result<T> finish(T value) const
    {
        if (m_fault) {
            return Failure(*m_fault);
        }
        return value;
    }

private:
    [[nodiscard]] const boost::json::value *find(std::string_view key) const noexcept;

    const boost::json::object *m_object = nullptr;
    std::string m_step;
    std::string m_peer;
    std::optional<Error> m_fault;
};

/// Parses JSON. @return the value, or MalformedMessage
[[nodiscard]] Result<boost::json::value> parseJson(std::string_view text, const std::string &step, const std::string &peer);

} // namespace apricotarch
