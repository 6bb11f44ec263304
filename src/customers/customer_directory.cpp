#include "apricotarch/customers/customer_directory.h"

#include <set>
#include <utility>

#include "apricotarch/base/hash.h"

namespace apricotarch
{

CustomerDirectory::CustomerDirectory(const std::vector<CustomerSpec> &specs)
{
    m_customers.reserve(specs.size());
    std::set<std::string> ambiguous;
    for (std::size_t index = 0; index < specs.size(); ++index) {
        m_customers.push_back({specs[index].id, specs[index].priority});
        for (const std::string &key : specs[index].keys) {
            std::string hash = sha256(key);
            const auto [entry, isNew] = m_byKeyHash.try_emplace(hash, index);
            if (!isNew && specs[entry->second].id != specs[index].id) {
                ambiguous.insert(std::move(hash));
            }
        }
    }
    for (const std::string &hash : ambiguous) {
        m_byKeyHash.erase(hash);
    }
}

const Customer *CustomerDirectory::findByKey(std::string_view key) const
{
    if (key.empty()) {
        return nullptr;
    }
    // The time that a comparison of hashes takes does not show how much of a wrong key is right.
    const auto found = m_byKeyHash.find(sha256(key));
    return found == m_byKeyHash.end() ? nullptr : &m_customers[found->second];
}

} // namespace apricotarch
