#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pistachiofall {

/// The rules of one kind, sorted by name. Tables share the rules that did not change, so a new
/// table after a change of one rule costs one pointer a rule.
template<typename T>
class RuleTable
{
public:
    using Entry = std::shared_ptr<const T>;
    using Names = std::set<std::string, std::less<>>;

    RuleTable() = default;

    /// The entries of the base but for those removed, and the entries added. Neither the entries
    /// added nor what is left of the base may have a name twice.
    static RuleTable merge(const RuleTable &base, const Names &removed, std::vector<Entry> added)
    {
        std::sort(added.begin(), added.end(), isBefore);
        RuleTable table;
        table.m_entries.reserve(base.size() - removed.size() + added.size());
        auto next = added.begin();
        for (const Entry &entry : base.m_entries) {
            if (!removed.empty() && removed.contains(entry->name))
                continue;
            while (next != added.end() && isBefore(*next, entry))
                table.m_entries.push_back(std::move(*next++));
            table.m_entries.push_back(entry);
        }
        while (next != added.end())
            table.m_entries.push_back(std::move(*next++));
        return table;
    }

    /// Null when there is no rule of that name. The pointer is valid as long as the table.
    const T *find(std::string_view name) const
    {
        const auto found = std::lower_bound(
                m_entries.begin(), m_entries.end(), name,
                [](const Entry &entry, std::string_view wanted) { return entry->name < wanted; });
        return found != m_entries.end() && (*found)->name == name ? found->get() : nullptr;
    }

    std::size_t size() const { return m_entries.size(); }
    auto begin() const { return m_entries.begin(); }
    auto end() const { return m_entries.end(); }

private:
    static bool isBefore(const Entry &a, const Entry &b) { return a->name < b->name; }

    std::vector<Entry> m_entries;
};

} // namespace pistachiofall
