#pragma once

/// @file
/// @brief Index of the hosts of a hall by free resources, so that a placement examines only a few hosts.
/// @since 0.1

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include <walkthread/state/hall.hpp>

namespace walkthread
{

/// @brief A host as seen by the policy, including the resources that the current plan has taken.
/// @since 0.1
struct host_view
{
    worker_id worker{};
    epoch_id epoch{};
    rack_id rack{};
    resources size{};
    resources free{};
    bool set_aside{}; ///< excluded from the index: reserved for a gang, or the current job failed there
};

/// @brief Position of a host in the pool; valid for the lifetime of the pool.
using host_slot = std::size_t;

/// @brief All hosts of a hall, indexed by free accelerators, cores and memory.
/// @since 0.1
class host_pool
{
  public:
    /// @brief Updates a host from its worker's state. Complexity: logarithmic in the hosts.
    /// @return whether it has more free resources than before in any dimension
    bool update(const worker_record& worker);
    /// @brief Takes resources of a host for the current plan. Complexity: logarithmic.
    void take(host_slot slot, const resources& amount);
    /// @brief Releases resources taken by `take`.
    void release(host_slot slot, const resources& amount);
    /// @brief Excludes a host from the index, or includes it again. Complexity: logarithmic.
    void set_aside(host_slot slot, bool reserved);

    /// @brief The fitting host with the least free resources, so that tasks are packed. Complexity:
    /// logarithmic; examines a bounded number of hosts.
    [[nodiscard]] std::optional<host_slot> best_fit(const resources& need);
    /// @brief The first fitting host in order of registration; a baseline for comparisons. Complexity:
    /// linear.
    [[nodiscard]] std::optional<host_slot> first_fit(const resources& need);
    /// @brief A fitting host found by probing random hosts; a baseline for comparisons.
    [[nodiscard]] std::optional<host_slot> random_fit(const resources& need, std::mt19937_64& random);

    [[nodiscard]] const host_view& at(host_slot slot) const
    {
        return m_hosts[slot];
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_hosts.size();
    }
    [[nodiscard]] std::optional<host_slot> find(worker_id worker) const;
    /// @brief Number of racks that have hosts.
    [[nodiscard]] std::size_t racks() const
    {
        return m_racks.size();
    }
    /// @brief Hosts of the rack at a position, which must be below `racks()`.
    [[nodiscard]] const std::vector<host_slot>& rack_at(std::size_t position) const
    {
        return m_racks[position];
    }
    /// @brief Number of hosts examined since the pool was created, over all decisions.
    [[nodiscard]] std::uint64_t examined() const
    {
        return m_examined;
    }
    /// @brief Adds hosts that a caller examined without a search of the pool.
    void count_examined(std::uint64_t hosts)
    {
        m_examined += hosts;
    }

  private:
    static constexpr std::size_t accelerator_levels = 9;
    static constexpr std::size_t cpu_levels = 64;
    static constexpr int probes_per_bucket = 4;

    struct place
    {
        std::int64_t memory{};
        host_slot slot{};
        friend auto operator<=>(const place&, const place&) = default;
    };
    using bucket = std::set<place>;
    struct bucket_key
    {
        std::size_t accelerators{};
        std::size_t cpu{};
        std::int64_t memory{};
        friend bool operator==(const bucket_key&, const bucket_key&) = default;
    };

    [[nodiscard]] static bucket_key key_of(const resources& free);
    [[nodiscard]] bool fits_here(host_slot slot, const resources& need);
    void reindex(host_slot slot);
    [[nodiscard]] std::optional<host_slot> probe(const bucket& hosts, const resources& need);

    std::vector<host_view> m_hosts;
    std::vector<std::optional<bucket_key>> m_keys;
    std::unordered_map<worker_id, host_slot> m_by_worker;
    std::unordered_map<rack_id, std::size_t> m_rack_position;
    std::vector<std::vector<host_slot>> m_racks;
    std::array<std::array<bucket, cpu_levels>, accelerator_levels> m_buckets;
    std::array<std::uint64_t, accelerator_levels>
        m_nonempty_levels{}; ///< bit set of the cpu levels that have hosts
    std::uint64_t m_examined = 0;
};

} // namespace walkthread
