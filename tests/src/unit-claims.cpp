#define BOOST_TEST_MODULE claims
#include <boost/test/unit_test.hpp>

#include <walkthread/routing/request_key.hpp>
#include <walkthread/state/claims.hpp>

using namespace walkthread;

namespace
{
constexpr wall_ms window = 600'000;
constexpr wall_ms now = 10'000'000;

claim_request claim(std::uint64_t attempt, std::uint64_t digest = 1, wall_ms key_time = now)
{
    return {organisation_id{1}, "key", digest, attempt_id{attempt}, key_time, window};
}

settle_claim settle(std::uint64_t attempt, claim_phase phase, std::string body = {})
{
    return {organisation_id{1},
            "key",
            attempt_id{attempt},
            static_cast<std::uint8_t>(phase),
            200,
            std::move(body),
            1,
            now};
}

int code(state_code c)
{
    return static_cast<int>(c);
}
} // namespace

BOOST_AUTO_TEST_CASE(claim_is_granted_once)
{
    claim_table table;
    BOOST_TEST(table.claim(now, claim(1)).code == 0);
    BOOST_TEST(table.claim(now, claim(1)).code == 0); // duplicate of the same attempt
    BOOST_TEST(table.claim(now, claim(2)).code == code(state_code::claim_held));
}

// The holder crashed: a resend gets a definite answer (unknown outcome) and the request is never sent again.
BOOST_AUTO_TEST_CASE(claim_held_too_long_has_unknown_outcome)
{
    claim_table table;
    table.claim(now, claim(1));
    BOOST_TEST(table.claim(now + 60'000, claim(2)).code == code(state_code::claim_held));
    BOOST_TEST(table.claim(now + 60'001, claim(2)).code == code(state_code::outcome_unknown));
    BOOST_TEST(table.settle(settle(1, claim_phase::completed, "late")).code == 0);
    BOOST_TEST(table.claim(now + 60'002, claim(2)).body == "late");
}

BOOST_AUTO_TEST_CASE(completed_claim_replays_its_response)
{
    claim_table table;
    table.claim(now, claim(1));
    table.settle(settle(1, claim_phase::completed, "answer"));
    const claim_result again = table.claim(now, claim(2));
    BOOST_TEST(again.code == 0);
    BOOST_TEST(again.body == "answer");
}

BOOST_AUTO_TEST_CASE(an_unknown_outcome_never_runs_again)
{
    claim_table table;
    table.claim(now, claim(1));
    table.settle(settle(1, claim_phase::unknown));
    BOOST_TEST(table.claim(now, claim(2)).code == code(state_code::outcome_unknown));
    BOOST_TEST(table.settle(settle(1, claim_phase::released)).code == code(state_code::not_claim_holder));
}

BOOST_AUTO_TEST_CASE(a_released_claim_can_be_claimed_by_another_attempt_only)
{
    claim_table table;
    table.claim(now, claim(1));
    table.settle(settle(1, claim_phase::released));
    BOOST_TEST(table.claim(now, claim(1)).code == code(state_code::not_claim_holder));
    BOOST_TEST(table.claim(now, claim(2)).code == 0);
    BOOST_TEST(table.settle(settle(1, claim_phase::completed)).code == code(state_code::not_claim_holder));
}

// The claim was delayed in the network, and its attempt released it in the meantime.
BOOST_AUTO_TEST_CASE(release_before_claim_takes_effect)
{
    claim_table table;
    BOOST_TEST(table.settle(settle(1, claim_phase::released)).code == 0);
    BOOST_TEST(table.claim(now, claim(1)).code == code(state_code::not_claim_holder));
    BOOST_TEST(table.claim(now, claim(2)).code == 0);
}

BOOST_AUTO_TEST_CASE(only_the_holder_settles)
{
    claim_table table;
    table.claim(now, claim(1));
    BOOST_TEST(table.settle(settle(2, claim_phase::completed)).code == code(state_code::not_claim_holder));
}

BOOST_AUTO_TEST_CASE(another_body_under_the_same_key_is_refused)
{
    claim_table table;
    table.claim(now, claim(1, 1));
    BOOST_TEST(table.claim(now, claim(2, 2)).code == code(state_code::key_body_differs));
}

BOOST_AUTO_TEST_CASE(old_and_future_keys_are_refused)
{
    claim_table table;
    BOOST_TEST(table.claim(now, claim(1, 1, now - window - 1)).code == code(state_code::key_expired));
    BOOST_TEST(table.claim(now, claim(1, 1, now + 120'000)).code == code(state_code::key_from_future));
}

// An evicted key is refused even if the window is extended later.
BOOST_AUTO_TEST_CASE(evicted_key_is_refused)
{
    claim_table table;
    table.claim(now, claim(1));
    table.settle(settle(1, claim_phase::completed, "answer"));
    claim_request other = claim(2, 1, now + window + 1);
    other.key = "other";
    table.claim(now + window + 2, other);
    BOOST_TEST(table.size() == 1U);
    claim_request late = claim(3);
    late.window = 100 * window;
    BOOST_TEST(table.claim(now + window + 3, late).code == code(state_code::key_expired));
}

BOOST_AUTO_TEST_CASE(organisations_do_not_share_keys)
{
    claim_table table;
    table.claim(now, claim(1));
    claim_request other = claim(2, 9);
    other.organisation = organisation_id{2};
    BOOST_TEST(table.claim(now, other).code == 0);
}

BOOST_AUTO_TEST_CASE(key_contains_its_creation_time)
{
    BOOST_TEST(timestamp_of_key("01931b60-0000-7000-8000-000000000000").value() == 0x01931b600000LL);
    BOOST_TEST(!timestamp_of_key("01931b60-0000-4000-8000-000000000000"));
    BOOST_TEST(!timestamp_of_key("01931b60-0000-7000-8000-00000000000g"));
    BOOST_TEST(!timestamp_of_key("short"));
}
