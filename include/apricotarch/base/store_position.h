#pragma once

/**
 * @file
 * Positions in the history of the platform's table service. A restored service continues from an older copy and assigns versions again
 * that it has assigned before, so a version alone identifies nothing: it is always kept and compared with the incarnation of the service.
 */

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>

#include "apricotarch/base/strong_type.h"

namespace apricotarch
{

using StoreIncarnation = StrongNumber<struct StoreIncarnationTag>; ///< Counts the restores of the table service.

/// Version of a row within one incarnation of the table service. Cannot be compared, see StorePosition.
class RowVersion
{
public:
    constexpr RowVersion() = default;

    constexpr explicit RowVersion(std::int64_t value) noexcept
        : m_value(value)
    {
    }

    [[nodiscard]] constexpr std::int64_t value() const noexcept
    {
        return m_value;
    }

private:
    std::int64_t m_value = 0;
};

/// A row version with the incarnation of the table service that assigned it. Later incarnations are newer, whatever the versions are.
class StorePosition
{
public:
    static constexpr int VersionBits = 44; ///< Bits of packed() that contain the version.
    static constexpr std::int64_t MaxVersion = (std::int64_t(1) << VersionBits) - 1;
    static constexpr std::int64_t MaxIncarnation = (std::int64_t(1) << (62 - VersionBits)) - 1;

    constexpr StorePosition() = default;

    /// A position in the first incarnation.
    constexpr explicit StorePosition(std::int64_t version) noexcept
        : m_version(version)
    {
    }

    constexpr StorePosition(StoreIncarnation incarnation, RowVersion version) noexcept
        : m_incarnation(incarnation)
        , m_version(version.value())
    {
    }

    /// Restores a position from packed().
    [[nodiscard]] static constexpr StorePosition unpack(std::int64_t packed) noexcept
    {
        return {StoreIncarnation(packed >> VersionBits), RowVersion(packed & MaxVersion)};
    }

    /// Whether an answer with these numbers can be represented by packed().
    [[nodiscard]] static constexpr bool isValid(StoreIncarnation incarnation, RowVersion version) noexcept
    {
        return incarnation.value() >= 0 && incarnation.value() <= MaxIncarnation && version.value() >= 0 && version.value() <= MaxVersion;
    }

    [[nodiscard]] constexpr StoreIncarnation incarnation() const noexcept
    {
        return m_incarnation;
    }

    [[nodiscard]] constexpr RowVersion version() const noexcept
    {
        return RowVersion(m_version);
    }

    /// Whether the position names a row or a read; false if there is no row or nothing has been read.
    [[nodiscard]] constexpr bool exists() const noexcept
    {
        return m_version != 0;
    }

    /// Returns the position after one more write in the same incarnation.
    [[nodiscard]] constexpr StorePosition next() const noexcept
    {
        return {m_incarnation, RowVersion(m_version + 1)};
    }

    /// Returns both numbers in one, in the same order as the positions. Equal to the version in the first incarnation.
    [[nodiscard]] constexpr std::int64_t packed() const noexcept
    {
        return (m_incarnation.value() << VersionBits) | m_version;
    }

    /// Formats the position as `INCARNATION/VERSION`.
    [[nodiscard]] std::string text() const
    {
        return std::to_string(m_incarnation.value()) + '/' + std::to_string(m_version);
    }

    auto operator<=>(const StorePosition &) const = default;

private:
    StoreIncarnation m_incarnation;
    std::int64_t m_version = 0;
};

inline std::ostream &operator<<(std::ostream &out, const StorePosition &position)
{
    return out << position.text();
}

} // namespace apricotarch
