// Strategies for choosing among endpoints.

#include <walkthread/routing/endpoints.hpp>

#include <memory>

#include <xxhash.h>

namespace walkthread
{

namespace
{
/// Builds a Maglev lookup table: the endpoints take turns claiming the next free slot in their own
/// permutation of the slots. The number of slots must be prime.
std::vector<std::size_t> build_maglev(const std::vector<const endpoint_state*>& endpoints)
{
    constexpr std::size_t slots = 4093; // prime; over 100 slots per endpoint keep the load even
    constexpr std::uint64_t skip_seed = 1;
    const std::size_t none = endpoints.size();
    std::vector<std::size_t> table(slots, none);
    std::vector<std::size_t> position(endpoints.size());
    std::vector<std::size_t> skip(endpoints.size());
    for (std::size_t i = 0; i < endpoints.size(); ++i)
    {
        const std::string name = to_string(endpoints[i]->where.run);
        position[i] = XXH3_64bits(name.data(), name.size()) % slots;
        skip[i] = XXH3_64bits_withSeed(name.data(), name.size(), skip_seed) % (slots - 1) + 1;
    }
    for (std::size_t filled = 0; filled < slots;)
    {
        for (std::size_t i = 0; i < endpoints.size() && filled < slots; ++i)
        {
            while (table[position[i]] != none)
            {
                position[i] = (position[i] + skip[i]) % slots;
            }
            table[position[i]] = i;
            ++filled;
        }
    }
    return table;
}
} // namespace

endpoint_choice two_random_choices(std::uint64_t seed)
{
    auto random = std::make_shared<std::mt19937_64>(seed);
    return [random](const std::vector<const endpoint_state*>& endpoints, std::uint64_t) -> std::size_t
    {
        const std::size_t a = (*random)() % endpoints.size();
        const std::size_t b = (*random)() % endpoints.size();
        return endpoints[a]->outstanding <= endpoints[b]->outstanding ? a : b;
    };
}

endpoint_choice round_robin()
{
    auto next = std::make_shared<std::size_t>(0);
    return [next](const std::vector<const endpoint_state*>& endpoints, std::uint64_t) -> std::size_t
    {
        return (*next)++ % endpoints.size();
    };
}

endpoint_choice maglev_hashing()
{
    struct cached_table
    {
        std::vector<run_id> runs;
        std::vector<std::size_t> slots;
    };
    auto cache = std::make_shared<cached_table>();
    return [cache](const std::vector<const endpoint_state*>& endpoints, std::uint64_t hash) -> std::size_t
    {
        std::vector<run_id> runs;
        runs.reserve(endpoints.size());
        for (const endpoint_state* state : endpoints)
        {
            runs.push_back(state->where.run);
        }
        if (cache->runs != runs)
        {
            cache->runs = std::move(runs);
            cache->slots = build_maglev(endpoints);
        }
        return cache->slots[hash % cache->slots.size()];
    };
}

} // namespace walkthread
