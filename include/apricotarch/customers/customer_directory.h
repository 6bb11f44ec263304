#pragma once

/**
 * @file
 * The customers of a configuration and the keys by which their callers are recognized.
 */

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "apricotarch/customers/customer_id.h"

namespace apricotarch
{

/// A customer as the configuration specifies it.
struct CustomerSpec
{
    CustomerId id;
    std::vector<std::string> keys; ///< In plain text.
    std::optional<int> priority; ///< 0 is the most urgent; empty for the priority of the route.
};

/// A customer without its keys.
struct Customer
{
    CustomerId id;
    std::optional<int> priority; ///< 0 is the most urgent; empty for the priority of the route.
};

/// Finds customers by key. Contains hashes of keys only. Immutable once built.
class CustomerDirectory
{
public:
    CustomerDirectory() = default;

    /// @param specs customers in any order; a key that several customers have belongs to none of them
    explicit CustomerDirectory(const std::vector<CustomerSpec> &specs);

    /// Returns the customer that a key belongs to, or null. Costs one hash and one lookup by hash.
    [[nodiscard]] const Customer *findByKey(std::string_view key) const;

    [[nodiscard]] std::size_t customerCount() const noexcept
    {
        return m_customers.size();
    }

    /// Returns the number of keys that belong to a customer.
    [[nodiscard]] std::size_t keyCount() const noexcept
    {
        return m_byKeyHash.size();
    }

private:
    std::vector<Customer> m_customers;
    std::unordered_map<std::string, std::size_t> m_byKeyHash; ///< Index in m_customers by the binary SHA-256 hash of a key.
};

} // namespace apricotarch
