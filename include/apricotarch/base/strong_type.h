#pragma once

/**
 * @file
 * Strong types for identifiers and quantities, so that a node id cannot be passed as a replica id, or tokens as requests.
 */

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace apricotarch
{

/**
 * A textual identifier of one kind.
 * @tparam Tag incomplete type that distinguishes the kind
 */
template<typename Tag>
class StrongId
{
public:
    StrongId() = default;

    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    /// Returns the text of the identifier.
    [[nodiscard]] const std::string &value() const noexcept
    {
        return m_value;
    }

    /// Whether the identifier is unset.
    [[nodiscard]] bool empty() const noexcept
    {
        return m_value.empty();
    }

    auto operator<=>(const StrongId &) const = default;

private:
    std::string m_value;
};

/**
 * A signed quantity of one kind.
 * @tparam Tag incomplete type that distinguishes the kind and its unit
 */
template<typename Tag>
class StrongNumber
{
public:
    constexpr StrongNumber() = default;

    constexpr explicit StrongNumber(std::int64_t value) noexcept
        : m_value(value)
    {
    }

    /// Returns the quantity in its unit.
    [[nodiscard]] constexpr std::int64_t value() const noexcept
    {
        return m_value;
    }

    /// Returns the quantity increased by one.
    [[nodiscard]] constexpr StrongNumber next() const noexcept
    {
        return StrongNumber(m_value + 1);
    }

    constexpr StrongNumber &operator+=(StrongNumber other) noexcept
    {
        m_value += other.m_value;
        return *this;
    }

    constexpr StrongNumber &operator-=(StrongNumber other) noexcept
    {
        m_value -= other.m_value;
        return *this;
    }

    friend constexpr StrongNumber operator+(StrongNumber left, StrongNumber right) noexcept
    {
        return left += right;
    }

    friend constexpr StrongNumber operator-(StrongNumber left, StrongNumber right) noexcept
    {
        return left -= right;
    }

    constexpr auto operator<=>(const StrongNumber &) const = default;

private:
    std::int64_t m_value = 0;
};

template<typename Tag>
std::ostream &operator<<(std::ostream &out, const StrongId<Tag> &id)
{
    return out << id.value();
}

template<typename Tag>
std::ostream &operator<<(std::ostream &out, const StrongNumber<Tag> &number)
{
    return out << number.value();
}

} // namespace apricotarch

template<typename Tag>
struct std::hash<apricotarch::StrongId<Tag>>
{
    std::size_t operator()(const apricotarch::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
