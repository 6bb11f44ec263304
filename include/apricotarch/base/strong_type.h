#pragma once

/**
 * @file
 * Strong types for identifiers and quantities, so that a node id cannot be passed for a replica id nor tokens for requests.
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
 * @tparam Tag an empty type that names the kind
 */
template<typename Tag>
class StrongId
{
public:
    StrongId() = default;

    /// Makes an identifier of @p value. @throws std::bad_alloc
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    /// The identifier's text. Constant time; does not throw.
    [[nodiscard]] const std::string &value() const noexcept
    {
        return m_value;
    }

    /// Whether no identifier has been given.
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
 * @tparam Tag an empty type that names the kind and its unit
 */
template<typename Tag>
class StrongNumber
{
public:
    constexpr StrongNumber() = default;

    /// Makes a quantity of @p value units.
    constexpr explicit StrongNumber(std::int64_t value) noexcept
        : m_value(value)
    {
    }

    /// The quantity in its unit.
    [[nodiscard]] constexpr std::int64_t value() const noexcept
    {
        return m_value;
    }

    /// The quantity that follows this one.
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
