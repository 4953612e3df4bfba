#define BOOST_TEST_MODULE power_loss
#include <boost/test/unit_test.hpp>

#include <cstdlib>

#include "replica_network.hpp"

using namespace walkthread;
using namespace walkthread::test;

// All replicas lose power at once, and as many disks are lost as the group tolerates. Committed entries must
// survive.

namespace
{
constexpr std::size_t replicas = 5;
constexpr std::size_t disks_lost = 2;

std::uint64_t seed_count()
{
    const char* asked = std::getenv("WALKTHREAD_SEEDS");
    return asked == nullptr ? 150 : std::strtoull(asked, nullptr, 10);
}

// Proposes entries for a random time, so that appends, fsyncs and replies are in flight at the power loss.
void propose_random_load(replica_network& net)
{
    const std::uint64_t count = 20 + net.random_below(40);
    for (std::uint64_t i = 0; i < count; ++i)
    {
        net.propose("p" + std::to_string(i));
        net.run(milliseconds(10 + 10 * static_cast<std::int64_t>(net.random_below(4))));
    }
}

struct lost_disk
{
    replica_id old;
    replica_id fresh;
};

// Stops all replicas and restarts them: those with a lost disk empty and under a new incarnation, the others
// with their durable state.
std::vector<lost_disk> crash_all_and_lose_disks(replica_network& net)
{
    std::vector<replica_id> left = net.ids();
    for (const replica_id& id : left)
    {
        net.stop(id);
    }
    std::vector<lost_disk> lost;
    for (std::size_t i = 0; i < disks_lost; ++i)
    {
        const std::size_t chosen = net.random_below(left.size());
        lost.push_back({left[chosen], net.lose_disk(left[chosen])});
        net.stop(lost.back().fresh);
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    net.run(milliseconds(10 + static_cast<std::int64_t>(net.random_below(1500))));
    for (const replica_id& id : net.ids())
    {
        net.start(id);
        net.run(milliseconds(static_cast<std::int64_t>(net.random_below(300))));
    }
    return lost;
}

void repair(replica_network& net, const std::vector<lost_disk>& lost)
{
    for (const lost_disk& disk : lost)
    {
        const auto replaced = [&net, &disk]
        {
            replica* leader = net.find_leader();
            return leader != nullptr && leader->members().is_voter(disk.fresh) &&
                   !leader->members().is_voter(disk.old);
        };
        for (int i = 0; i < 400 && !replaced(); ++i)
        {
            net.replace(disk.fresh, disk.old);
            net.run(milliseconds(50));
        }
        BOOST_TEST(replaced());
    }
}
} // namespace

BOOST_AUTO_TEST_CASE(committed_entries_survive_two_lost_disks_and_power_loss)
{
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            replica_network net(replicas, seed, {0.02, 0.02, 0.04});
            net.run(seconds(4));
            for (int round = 0; round < 2; ++round)
            {
                propose_random_load(net);
                const std::map<log_index, std::string> before = net.committed();
                const std::vector<lost_disk> lost = crash_all_and_lose_disks(net);
                repair(net, lost);
                BOOST_REQUIRE_EQUAL(net.violation(),
                                    ""); // includes the check that no index gets two different entries
                replica* leader = net.find_leader();
                BOOST_REQUIRE(leader != nullptr);
                BOOST_REQUIRE(!before.empty());
                BOOST_TEST(leader->commit_index().value() >= before.rbegin()->first.value());
                const std::size_t kept = net.committed().size();
                BOOST_TEST(net.propose("after"));
                net.run(seconds(2));
                BOOST_TEST(net.committed().size() > kept);
            }
        }
    }
}
