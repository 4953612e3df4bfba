#define BOOST_TEST_MODULE join_policy
#include <boost/test/unit_test.hpp>

#include <map>

#include <walkthread/replication/join_policy.hpp>

using namespace walkthread;

namespace
{
// Replicas of one host have the same node; each disk has its own incarnation.
replica_id make_replica(std::uint16_t node, std::uint64_t incarnation)
{
    return {node_id{node}, incarnation_id{incarnation}};
}

struct join_fixture
{
    membership members;
    join_settings settings;
    monotonic_time now{seconds(100)};
    std::map<replica_id, monotonic_time> heard;
    join_hooks hooks;

    join_fixture()
    {
        for (std::uint16_t node = 1; node <= 3; ++node)
        {
            members.voters.push_back(make_replica(node, 1));
            heard[make_replica(node, 1)] = now;
        }
        hooks.same_host = [](const replica_id& a, const replica_id& b)
        {
            return a.node == b.node;
        };
        hooks.last_heard = [this](const replica_id& member) -> std::optional<monotonic_time>
        {
            const auto found = heard.find(member);
            return found == heard.end() ? std::nullopt : std::optional(found->second);
        };
    }
    join_decision decide(const replica_id& requester) const
    {
        return decide_join(members, requester, settings, hooks, now);
    }
};
} // namespace

BOOST_FIXTURE_TEST_CASE(replica_with_lost_disk_replaces_its_voter, join_fixture)
{
    now += seconds(1);
    const join_decision decided = decide(make_replica(2, 7));
    BOOST_REQUIRE(decided.add);
    BOOST_TEST(decided.add->promote);
    BOOST_TEST((decided.add->replaces == make_replica(2, 1)));
}

// The join request of a replica whose disk was lost again arrives after its successor has joined.
BOOST_FIXTURE_TEST_CASE(late_join_request_is_ignored, join_fixture)
{
    const join_decision decided = decide(make_replica(2, 7));
    BOOST_TEST(!decided.add);
    BOOST_TEST(!decided.remove);
    BOOST_TEST((decided.live_replica == make_replica(2, 1)));
}

BOOST_FIXTURE_TEST_CASE(live_learner_is_kept_on_late_join_request, join_fixture)
{
    now += seconds(1);
    const replica_id successor = make_replica(2, 8);
    members.learners.push_back({successor, true, make_replica(2, 1)});
    heard[successor] = now;
    BOOST_TEST((decide(make_replica(2, 7)).live_replica == successor));
    now += seconds(1);
    BOOST_TEST((decide(make_replica(2, 9)).remove == successor));
}

BOOST_FIXTURE_TEST_CASE(replica_on_another_host_becomes_standby, join_fixture)
{
    const join_decision decided = decide(make_replica(4, 5));
    BOOST_REQUIRE(decided.add);
    BOOST_TEST(!decided.add->promote);
    BOOST_TEST(!decide(make_replica(1, 1)).add); // already a member
}

BOOST_FIXTURE_TEST_CASE(silent_learner_expires, join_fixture)
{
    const replica_id silent = make_replica(4, 5);
    members.learners.push_back({silent, true, make_replica(2, 1)});
    heard[silent] = now;
    BOOST_TEST(!find_expired_learner(members, settings, hooks, now + seconds(9)));
    BOOST_TEST((find_expired_learner(members, settings, hooks, now + seconds(11)) == silent));
}
