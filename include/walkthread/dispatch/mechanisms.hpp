#pragma once

/// @file
/// @brief Policies of the dispatcher that can be switched off, to evaluate the effect of each.
///
/// They affect scheduling quality only: all guarantees hold with any of them off.
/// @since 0.3

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace walkthread
{

/// @brief A policy that can be switched off; docs/OPERATIONS.md describes them.
enum class mechanism : std::uint8_t
{
    outlook_order,  ///< work that can still be on time goes first; off: order by urgency and age only
    preemption,     ///< less urgent runs with checkpoints are stopped for urgent work and for gangs
    learned_speeds, ///< the speeds of hosts are learned from run times
    quarantine,     ///< hosts on which runs of several submissions fail in a row are put on probation
    failed_hosts,   ///< a task is not retried where it failed if there are other hosts
    large_slots,    ///< small tasks are placed where they leave capacity for tasks of gangs
    short_looks,    ///< polls are short while many of them are lost
    answer_tickets, ///< ticket validity is counted from the advisor's answer; off: from the query
    /// Steps that wait get tickets for all eligible hosts in advance, while the processes that query are
    /// idle.
    kept_tickets,
    reservations,   ///< hosts are held for tasks that need most of a host until they are free
    suspects_apart, ///< crash suspects are started apart from each other and from other work
};

/// @brief The names used in settings and logs, in the order of `mechanism`.
inline constexpr std::array<std::string_view, 11> mechanism_names{
    "outlook-order", "preemption",     "learned-speeds", "quarantine",   "failed-hosts",  "large-slots",
    "short-looks",   "answer-tickets", "kept-tickets",   "reservations", "suspects-apart"};

/// @brief The mechanism of that name; no value if there is none. Complexity: linear in the names.
[[nodiscard]] inline std::optional<mechanism> find_mechanism(std::string_view name)
{
    for (std::size_t i = 0; i < mechanism_names.size(); ++i)
    {
        if (mechanism_names.at(i) == name)
        {
            return static_cast<mechanism>(i);
        }
    }
    return std::nullopt;
}

/// @brief Which mechanisms are on; by default all.
/// @since 0.3
class mechanism_set
{
  public:
    void switch_off(mechanism which)
    {
        m_off.set(static_cast<std::size_t>(which));
    }
    [[nodiscard]] bool on(mechanism which) const
    {
        return !m_off.test(static_cast<std::size_t>(which));
    }
    /// @brief The names of those that are off, separated by blanks; empty for none.
    [[nodiscard]] std::string off_names() const
    {
        std::string out;
        for (std::size_t i = 0; i < mechanism_names.size(); ++i)
        {
            if (m_off.test(i))
            {
                out += out.empty() ? "" : " ";
                out += mechanism_names.at(i);
            }
        }
        return out;
    }

  private:
    std::bitset<mechanism_names.size()> m_off;
};

} // namespace walkthread
