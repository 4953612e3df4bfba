#define BOOST_TEST_MODULE join_policy
#include <boost/test/unit_test.hpp>

#include <map>

#include <walkthread/replication/newcomers.hpp>

using namespace walkthread;

namespace
{
// Replicas of one host have the same node; each disk has its own incarnation.
replica_id make_replica(std::uint16_t node, std::uint64_t incarnation)
{
    return {node_id{node}, incarnation_id{incarnation}};
}

struct newcomer_fixture
{
    membership members;
    newcomer_settings settings;
    monotonic_time now{seconds(100)};
    std::map<replica_id, monotonic_time> heard;
    newcomer_hooks hooks;

    newcomer_fixture()
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
    newcomer_decision decide(const replica_id& requester) const
    {
        return judge_newcomer(members, requester, settings, hooks, now);
    }
};
} // namespace

BOOST_FIXTURE_TEST_CASE(a_lost_disk_comes_back_in_the_place_of_its_voter, newcomer_fixture)
{
    now += seconds(1);
    const newcomer_decision decided = decide(make_replica(2, 7));
    BOOST_REQUIRE(decided.add);
    BOOST_TEST(decided.add->promote);
    BOOST_TEST((decided.add->replaces == make_replica(2, 1)));
}

// The join request of a replica whose disk was lost again arrives after its successor has joined.
BOOST_FIXTURE_TEST_CASE(a_request_that_comes_late_replaces_nobody, newcomer_fixture)
{
    const newcomer_decision decided = decide(make_replica(2, 7));
    BOOST_TEST(!decided.add);
    BOOST_TEST(!decided.remove);
    BOOST_TEST((decided.live_replica == make_replica(2, 1)));
}

BOOST_FIXTURE_TEST_CASE(a_newcomer_that_catches_up_is_not_pushed_out_by_a_late_request, newcomer_fixture)
{
    now += seconds(1);
    const replica_id successor = make_replica(2, 8);
    members.learners.push_back({successor, true, make_replica(2, 1)});
    heard[successor] = now;
    BOOST_TEST((decide(make_replica(2, 7)).live_replica == successor));
    now += seconds(1);
    BOOST_TEST((decide(make_replica(2, 9)).remove == successor));
}

BOOST_FIXTURE_TEST_CASE(another_host_stands_by, newcomer_fixture)
{
    const newcomer_decision decided = decide(make_replica(4, 5));
    BOOST_REQUIRE(decided.add);
    BOOST_TEST(!decided.add->promote);
    BOOST_TEST(!decide(make_replica(1, 1)).add); // already a member
}

BOOST_FIXTURE_TEST_CASE(a_newcomer_that_never_answers_makes_room, newcomer_fixture)
{
    const replica_id silent = make_replica(4, 5);
    members.learners.push_back({silent, true, make_replica(2, 1)});
    heard[silent] = now;
    BOOST_TEST(!find_forgotten(members, settings, hooks, now + seconds(9)));
    BOOST_TEST((find_forgotten(members, settings, hooks, now + seconds(11)) == silent));
}
