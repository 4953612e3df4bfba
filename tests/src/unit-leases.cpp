#define BOOST_TEST_MODULE leases
#include <boost/test/unit_test.hpp>

#include "replica_network.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
// A short lease that is extended when a quorum replies slowly.
replica_settings short_lease_settings()
{
    replica_settings settings;
    settings.heartbeat = milliseconds(100);
    settings.election_timeout = milliseconds(350);
    return settings;
}
} // namespace

// A partitioned leader served a stale read 0.2 s after the next leader had acknowledged a newer version. It
// requests longer leases while its quorum does not reply (350, 525, 787 and 1,000 ms) and computed its own
// lease from a duration that nobody had acknowledged: 0.75 s instead of 0.34 s. Only durations requested in
// acknowledged messages may count.
BOOST_AUTO_TEST_CASE(partitioned_leader_counts_only_acknowledged_lease_requests)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            replica_network net(3 + 2 * (seed % 2), seed, {0.0, 0.0, 0.04, 5}, short_lease_settings());
            net.run(seconds(3));
            for (int round = 0; round < 4; ++round)
            {
                replica* leader = net.find_leader();
                BOOST_REQUIRE(leader != nullptr);
                const replica_id lost = leader->self();
                for (const replica_id& other : net.ids())
                {
                    net.block_link(lost, other);
                    net.block_link(other, lost);
                }
                net.run(milliseconds(300 + 100 * static_cast<std::int64_t>(net.random_below(30))));
                net.heal();
                net.run(seconds(3));
            }
            BOOST_TEST(net.violation() == "");
        }
    }
}
