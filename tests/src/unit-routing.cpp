#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>

#include <walkthread/routing/endpoints.hpp>
#include <walkthread/routing/limits.hpp>
#include <walkthread/routing/outcome.hpp>

using namespace walkthread;

namespace
{
const endpoint_directory::service_key service{organisation_id{1}, "solve"};
constexpr monotonic_time start{seconds(100)};

service_endpoints reported_endpoints(std::uint32_t count, std::uint32_t workers = 100)
{
    service_endpoints out{organisation_id{1}, "solve", job_id{1}, {}};
    for (std::uint32_t i = 0; i < count; ++i)
    {
        out.endpoints.push_back({run_id{{job_id{1}, i}, 1}, worker_id{1 + i % workers}, "10.0.0.1", 80});
    }
    return out;
}

endpoint_directory make_directory(std::uint32_t count, std::uint32_t workers = 100)
{
    endpoint_directory directory(two_random_choices(1), seconds(5), 4);
    directory.set(hall_id{1}, reported_endpoints(count, workers));
    directory.confirm(hall_id{1}, start);
    return directory;
}
} // namespace

BOOST_AUTO_TEST_CASE(endpoints_of_an_unconfirmed_hall_are_not_used)
{
    endpoint_directory directory = make_directory(4);
    BOOST_TEST(directory.begin(service, 0, {}, start + seconds(4)).has_value());
    BOOST_TEST(!directory.begin(service, 0, {}, start + seconds(5)).has_value());
    directory.confirm(hall_id{1}, start + seconds(5));
    BOOST_TEST(directory.begin(service, 0, {}, start + seconds(6)).has_value());
}

BOOST_AUTO_TEST_CASE(a_removed_endpoint_gets_no_requests)
{
    endpoint_directory directory = make_directory(2);
    directory.set(hall_id{1}, reported_endpoints(1));
    for (int i = 0; i < 4; ++i)
    {
        BOOST_TEST(directory.begin(service, 0, {}, start)->run.task.index == 0U);
    }
}

// Halls that share a service use the same task numbers, so run ids are not unique across halls.
BOOST_AUTO_TEST_CASE(halls_with_equal_run_ids_keep_separate_endpoints)
{
    endpoint_directory directory = make_directory(2);
    service_endpoints other = reported_endpoints(2);
    for (endpoint& item : other.endpoints)
    {
        item.worker = worker_id{item.worker.value() + 100};
    }
    directory.set(hall_id{2}, other);
    BOOST_TEST(directory.count(service) == 4U);
    other.endpoints.clear();
    directory.set(hall_id{2}, other);
    BOOST_TEST(directory.count(service) == 2U);
    BOOST_TEST(directory.begin(service, 0, {}, start).has_value());
}

BOOST_AUTO_TEST_CASE(connections_to_a_worker_are_limited)
{
    endpoint_directory directory = make_directory(8, 1);
    for (int i = 0; i < 4; ++i)
    {
        BOOST_TEST(directory.begin(service, 0, {}, start).has_value());
    }
    BOOST_TEST(!directory.begin(service, 0, {}, start).has_value());
}

BOOST_AUTO_TEST_CASE(an_unavailable_endpoint_is_avoided_and_a_suspect_is_used_last)
{
    endpoint_directory directory = make_directory(2);
    const endpoint first = *directory.begin(service, 0, {}, start);
    directory.end(service, first, endpoint_feedback::gone, start);
    BOOST_TEST((directory.begin(service, 0, {}, start)->run != first.run));
    endpoint_directory lone = make_directory(1);
    for (int i = 0; i < 5; ++i)
    {
        const auto used = lone.begin(service, 0, {}, start);
        BOOST_REQUIRE(used.has_value());
        lone.end(service, *used, endpoint_feedback::broken, start);
    }
}

BOOST_AUTO_TEST_CASE(a_request_does_not_try_an_endpoint_twice)
{
    endpoint_directory directory = make_directory(2);
    const endpoint first = *directory.begin(service, 0, {}, start);
    const endpoint second = *directory.begin(service, 0, {first.key()}, start);
    BOOST_TEST((first.run != second.run));
    BOOST_TEST(!directory.begin(service, 0, {first.key(), second.key()}, start).has_value());
}

BOOST_AUTO_TEST_CASE(a_not_repeatable_request_is_retried_only_if_it_did_not_run)
{
    BOOST_TEST((step_after(exchange_outcome::not_sent, false) == next_step::try_another));
    BOOST_TEST((step_after(exchange_outcome::refused, false) == next_step::try_another));
    BOOST_TEST((step_after(exchange_outcome::broken, false) == next_step::give_up));
    BOOST_TEST((step_after(exchange_outcome::broken, true) == next_step::try_another));
    BOOST_TEST((outcome_without_answer(false) == request_outcome::not_run));
    BOOST_TEST((outcome_without_answer(true) == request_outcome::unknown));
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget)
{
    retry_budget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i)
    {
        budget.on_request();
        retries += budget.take() ? 1 : 0;
    }
    BOOST_TEST(retries <= 1000 * retry_budget::ratio + retry_budget::max_saved);
    BOOST_TEST(retries >= 1000 * retry_budget::ratio - 1);
}

BOOST_AUTO_TEST_CASE(admission_bounds_rate_and_concurrency)
{
    admission one(2, 1000);
    BOOST_TEST((one.begin(start) == admission::answer::admitted));
    BOOST_TEST((one.begin(start) == admission::answer::admitted));
    BOOST_TEST((one.begin(start) == admission::answer::over_concurrency));
    BOOST_TEST(one.retry_after(start).count() >= 1);
    one.end(start, milliseconds(5));
    BOOST_TEST((one.begin(start) == admission::answer::admitted));
    admission rated(1000, 10);
    int admitted = 0;
    for (int i = 0; i < 100; ++i)
    {
        admitted += rated.begin(start + milliseconds(i)) == admission::answer::admitted ? 1 : 0;
    }
    BOOST_TEST(admitted == 10);
}

// Several gateways, each with its own view of the outstanding requests, send to endpoints of unequal speed.
// Compares the strategies by the mean length of the longest queue.
BOOST_AUTO_TEST_CASE(two_choices_keep_queues_shorter_than_hashing_and_rotation)
{
    constexpr int gateways = 8;
    constexpr int endpoints = 24;
    constexpr int rounds = 20'000;
    const auto longest_queue = [](const std::function<endpoint_choice(int)>& make)
    {
        std::mt19937_64 random(5);
        std::vector<int> queue(endpoints, 0);
        std::vector<endpoint_directory> views;
        std::vector<std::vector<std::vector<endpoint>>> sent(gateways,
                                                             std::vector<std::vector<endpoint>>(endpoints));
        for (int g = 0; g < gateways; ++g)
        {
            views.emplace_back(make(g), seconds(1000), 1000);
            views.back().set(hall_id{1}, reported_endpoints(endpoints));
            views.back().confirm(hall_id{1}, start);
        }
        std::uint64_t sum = 0;
        for (int round = 0; round < rounds; ++round)
        {
            const auto g = static_cast<std::size_t>(random() % gateways);
            const endpoint to = *views[g].begin(service, random(), {}, start);
            ++queue[to.run.task.index];
            sent[g][to.run.task.index].push_back(to);
            const std::size_t served = random() % endpoints;
            const bool slow = served % 4 == 0 && random() % 2 == 0;
            if (slow || round < 4 * endpoints)
            {
                continue;
            }
            for (std::size_t e = served; e < served + 2; ++e)
            {
                for (std::size_t from = 0; from < gateways; ++from)
                {
                    auto& waiting = sent[from][e % endpoints];
                    if (!waiting.empty())
                    {
                        views[from].end(service, waiting.back(), endpoint_feedback::healthy, start);
                        waiting.pop_back();
                        --queue[e % endpoints];
                        break;
                    }
                }
            }
            sum += static_cast<std::uint64_t>(*std::max_element(queue.begin(), queue.end()));
        }
        return static_cast<double>(sum) / rounds;
    };
    const double two = longest_queue(
        [](int g)
        {
            return two_random_choices(static_cast<std::uint64_t>(g));
        });
    const double hashing = longest_queue(
        [](int)
        {
            return maglev_hashing();
        });
    const double rotation = longest_queue(
        [](int)
        {
            return round_robin();
        });
    BOOST_TEST_MESSAGE("mean longest queue: two choices " << two << ", hashing " << hashing << ", rotation "
                                                          << rotation);
    BOOST_TEST(two < hashing);
    BOOST_TEST(two < rotation);
}

BOOST_AUTO_TEST_CASE(maglev_remaps_few_requests_when_an_endpoint_is_removed)
{
    std::vector<endpoint_state> states(20);
    std::vector<const endpoint_state*> all;
    for (std::uint32_t i = 0; i < 20; ++i)
    {
        states[i].where = {run_id{{job_id{1}, i}, 1}, worker_id{i}, "10.0.0.1", 80};
        all.push_back(&states[i]);
    }
    std::vector<const endpoint_state*> fewer(all.begin(), all.end() - 1);
    const endpoint_choice before = maglev_hashing();
    const endpoint_choice after = maglev_hashing();
    int moved = 0;
    for (std::uint64_t hash = 0; hash < 4093; ++hash)
    {
        const std::size_t was = before(all, hash);
        moved += was != 19 && after(fewer, hash) != was ? 1 : 0;
    }
    BOOST_TEST(moved < 4093 / 10);
}
