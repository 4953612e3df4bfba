#define BOOST_TEST_MODULE organisations
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>
#include <random>

#include <walkthread/wire/codec.hpp>
#include <walkthread/workload/caller_access.hpp>

using namespace walkthread;

namespace
{
constexpr wall_ms noon = 1'700'000'000'000;

organisation_spec make_organisation(const std::string& name, std::vector<std::string> keys,
                                    resources limit = {})
{
    organisation_spec out;
    out.name = name;
    out.keys = std::move(keys);
    out.weight = 2.0;
    out.limit = limit;
    return out;
}

// Queue "closed" requires keys, queue "open" does not. Hens are limited to three cores, geese have no limit.
cluster_configuration make_catalogue(std::uint64_t version)
{
    cluster_configuration out;
    out.version = version;
    out.keys_required = true;
    out.pools.push_back({"pool", false, false});
    for (const char* name : {"closed", "open"})
    {
        queue_spec queue;
        queue.name = name;
        queue.host = "example";
        queue.path_prefix = std::string("/") + name + "/";
        queue.timeout_ms = 3000;
        queue.pool = "pool";
        queue.max_attempts = 2;
        queue.open = queue.name == "open";
        out.queues.push_back(queue);
    }
    out.organisations.push_back(make_organisation("hens", {"hen-1", "hen-2"}, {3000, 0, 0, 0}));
    out.organisations.push_back(make_organisation("geese", {"goose-1"}));
    return out;
}

struct fixture
{
    workload_state state;

    fixture()
    {
        apply(replace_cluster_configuration{make_catalogue(1)});
        apply(admit_worker{{"a", "host-a", "10.0.0.1:1", "pool", "hall", {}, {8000, 8000, 0, 0}}});
    }
    workload_result apply(const workload_command& command)
    {
        return state.apply(noon, command);
    }
    workload_result keep(std::uint64_t id, const std::string& organisation, std::uint32_t count,
                         bool gang = false)
    {
        accept_submission command;
        command.id = submission_id{id};
        command.queue = "closed";
        command.organisation = organisation;
        step_spec step;
        step.count = count;
        step.size = {1000, 100, 0, 0};
        step.gang = gang;
        command.spec.steps.push_back(step);
        return apply(command);
    }
    // Starts `count` tasks of a submission's step. Returns the number of its active tasks.
    std::uint32_t start(std::uint64_t id, std::uint32_t count)
    {
        record_starts command;
        for (std::uint32_t i = 0; i < count; ++i)
        {
            command.starts.push_back({task_ref{{submission_id{id}}, i}, 1, worker_incarnation_id{1}});
        }
        apply(command);
        return state.find(submission_id{id})->active;
    }
    [[nodiscard]] access_decision ask(const std::string& path, const std::string& key) const
    {
        return decide_access(state, "example", path, key);
    }
};

struct older_keep_submission
{
    submission_id id{};
    std::string queue;
    submission_spec spec;
    MSGPACK_DEFINE(id, queue, spec)
};

std::optional<std::string> fault_of(std::vector<organisation_spec> organisations)
{
    return find_fault(organisations);
}
} // namespace

// ---------------------------------------------------------------------------------------------------------
// Configuration
// ---------------------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(a_valid_list_of_organisations_is_accepted)
{
    BOOST_TEST(!fault_of({make_organisation("a", {"k", "l"}), make_organisation("b", {})}));
}

BOOST_AUTO_TEST_CASE(a_missing_or_duplicate_name_is_rejected)
{
    BOOST_TEST(fault_of({make_organisation("", {})}).has_value());
    BOOST_TEST(fault_of({make_organisation("a", {}), make_organisation("a", {})}).has_value());
}

BOOST_AUTO_TEST_CASE(keys_are_unique_and_have_a_valid_length)
{
    BOOST_TEST(fault_of({make_organisation("a", {"k"}), make_organisation("b", {"k"})}).has_value());
    BOOST_TEST(fault_of({make_organisation("a", {"k", "k"})}).has_value());
    BOOST_TEST(fault_of({make_organisation("a", {""})}).has_value());
    BOOST_TEST(fault_of({make_organisation("a", {std::string(max_key_bytes + 1, 'x')})}).has_value());
    BOOST_TEST(!fault_of({make_organisation("a", {std::string(max_key_bytes, 'x')})}).has_value());
}

BOOST_AUTO_TEST_CASE(a_configuration_error_names_the_position_but_not_the_key)
{
    const std::string fault =
        *fault_of({make_organisation("hens", {"secret"}), make_organisation("geese", {"other", "secret"})});
    BOOST_TEST(fault.find("Key 1 of organisation geese") != std::string::npos);
    BOOST_TEST(fault.find("hens") != std::string::npos);
    BOOST_TEST(fault.find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(weights_and_limits_have_bounds)
{
    for (const double weight : {-1.0, std::nan(""), std::numeric_limits<double>::infinity(), 1e10})
    {
        organisation_spec organisation = make_organisation("a", {});
        organisation.weight = weight;
        BOOST_TEST(find_fault({organisation}).has_value());
    }
    for (const resources& limit : {resources{-1, 0, 0, 0}, resources{0, -1, 0, 0}, resources{0, 0, -1, 0}})
    {
        BOOST_TEST(fault_of({make_organisation("a", {}, limit)}).has_value());
    }
}

// ---------------------------------------------------------------------------------------------------------
// Access control
// ---------------------------------------------------------------------------------------------------------

BOOST_FIXTURE_TEST_CASE(a_known_key_identifies_its_organisation, fixture)
{
    BOOST_TEST(ask("/closed/1", "hen-1").organisation == "hens");
    BOOST_TEST(ask("/closed/1", "hen-2").organisation == "hens");
    BOOST_TEST(ask("/closed/1", "goose-1").organisation == "geese");
}

BOOST_FIXTURE_TEST_CASE(no_key_or_an_unknown_one_is_refused, fixture)
{
    BOOST_TEST((ask("/closed/1", "").verdict == access_verdict::no_key));
    BOOST_TEST((ask("/closed/1", "hen-").verdict == access_verdict::unknown_key));
    BOOST_TEST((ask("/closed/1", "hen-11").verdict == access_verdict::unknown_key));
    BOOST_TEST((ask("/nowhere/1", "hen-1").verdict == access_verdict::no_queue));
}

BOOST_FIXTURE_TEST_CASE(a_public_queue_needs_no_key_but_rejects_an_unknown_one, fixture)
{
    BOOST_TEST(ask("/open/1", "").allowed());
    BOOST_TEST(ask("/open/1", "").organisation.empty());
    BOOST_TEST(ask("/open/1", "goose-1").organisation == "geese");
    BOOST_TEST((ask("/open/1", "stale").verdict == access_verdict::unknown_key));
}

BOOST_AUTO_TEST_CASE(without_a_configuration_calls_are_retryable)
{
    const workload_state state;
    BOOST_TEST(
        (decide_access(state, "example", "/closed/1", "hen-1").verdict == access_verdict::no_configuration));
}

BOOST_AUTO_TEST_CASE(a_configuration_without_organisations_asks_for_no_keys)
{
    workload_state state;
    cluster_configuration held = make_catalogue(1);
    held.keys_required = false;
    held.organisations.clear();
    state.apply(noon, replace_cluster_configuration{held});
    BOOST_TEST(decide_access(state, "example", "/closed/1", "").allowed());
}

BOOST_FIXTURE_TEST_CASE(a_new_version_adds_and_drops_keys_at_once, fixture)
{
    cluster_configuration next = make_catalogue(2);
    next.organisations[0].keys = {"hen-2", "hen-3"};
    apply(replace_cluster_configuration{next});
    BOOST_TEST((ask("/closed/1", "hen-1").verdict == access_verdict::unknown_key));
    BOOST_TEST(ask("/closed/1", "hen-3").organisation == "hens");
    next = make_catalogue(3);
    next.organisations[0].keys.clear();
    apply(replace_cluster_configuration{next});
    BOOST_TEST((ask("/closed/1", "hen-3").verdict == access_verdict::unknown_key));
    apply(replace_cluster_configuration{make_catalogue(4)});
    BOOST_TEST(ask("/closed/1", "hen-1").organisation == "hens");
}

BOOST_FIXTURE_TEST_CASE(submissions_of_another_organisation_are_not_visible, fixture)
{
    keep(7, "hens", 1);
    BOOST_TEST(find_for_caller(state, ask("/closed/7", "hen-2"), submission_id{7}) != nullptr);
    BOOST_TEST(find_for_caller(state, ask("/closed/7", "goose-1"), submission_id{7}) == nullptr);
    BOOST_TEST(find_for_caller(state, ask("/closed/8", "goose-1"), submission_id{8}) == nullptr);
    BOOST_TEST(find_for_caller(state, ask("/open/7", ""), submission_id{7}) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(an_id_of_another_organisation_is_not_taken_over, fixture)
{
    keep(7, "hens", 1);
    BOOST_TEST(keep(7, "geese", 1).code == static_cast<std::int32_t>(workload_code::id_in_use));
    BOOST_TEST(keep(7, "hens", 1).code == 0);
    BOOST_TEST(state.find(submission_id{7})->organisation == "hens");
}

// ---------------------------------------------------------------------------------------------------------
// Limits
// ---------------------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(tasks_within_limit_follows_the_tightest_limit)
{
    BOOST_TEST(tasks_within_limit({3000, 0, 0, 0}, {}, {1000, 500, 0, 0}) == 3);
    BOOST_TEST(tasks_within_limit({3000, 900, 0, 0}, {}, {1000, 500, 0, 0}) == 1);
    BOOST_TEST(tasks_within_limit({3000, 0, 0, 0}, {3500, 0, 0, 0}, {1000, 0, 0, 0}) == 0);
    BOOST_TEST(tasks_within_limit({}, {9000, 9000, 9, 0}, {1000, 500, 1, 0}) == UINT32_MAX);
}

BOOST_FIXTURE_TEST_CASE(no_start_goes_over_a_limit_whatever_a_leader_proposes, fixture)
{
    keep(1, "hens", 5);
    BOOST_TEST(start(1, 5) == 3);
    keep(2, "geese", 5);
    BOOST_TEST(start(2, 5) == 5);
}

BOOST_FIXTURE_TEST_CASE(a_gang_over_the_limit_starts_none_of_its_tasks, fixture)
{
    keep(1, "hens", 4, true);
    BOOST_TEST(start(1, 4) == 0);
    keep(2, "hens", 3, true);
    BOOST_TEST(start(2, 3) == 3);
}

BOOST_FIXTURE_TEST_CASE(an_end_releases_usage_and_a_lowered_limit_applies_to_the_next_start, fixture)
{
    keep(1, "hens", 5);
    start(1, 5);
    const auto end = [this](std::uint32_t index)
    {
        apply(record_ends{worker_incarnation_id{1},
                          0,
                          {observed_end{run_ref{{{submission_id{1}}, index}, 1},
                                        static_cast<std::uint8_t>(run_end::completed),
                                        {}}}});
    };
    BOOST_TEST(state.quotas().places("hens", {1000, 0, 0, 0}) == 0);
    end(0);
    BOOST_TEST(state.quotas().places("hens", {1000, 0, 0, 0}) == 1);
    cluster_configuration lower = make_catalogue(2);
    lower.organisations[0].limit.cpu = 2000;
    apply(replace_cluster_configuration{lower});
    BOOST_TEST(state.quotas().places("hens", {1000, 0, 0, 0}) == 0);
    end(1);
    BOOST_TEST(state.quotas().places("hens", {1000, 0, 0, 0}) == 1);
}

BOOST_FIXTURE_TEST_CASE(a_removed_organisation_keeps_its_limit_for_running_work, fixture)
{
    keep(1, "hens", 5);
    start(1, 5);
    cluster_configuration next = make_catalogue(2);
    next.organisations.erase(next.organisations.begin());
    apply(replace_cluster_configuration{next});
    BOOST_TEST(state.quotas().places("hens", {1000, 0, 0, 0}) == 0);
    BOOST_TEST((state.find(submission_id{1})->state() == submission_phase::running));
}

BOOST_FIXTURE_TEST_CASE(a_snapshot_keeps_usage_limits_and_keys, fixture)
{
    keep(1, "hens", 5);
    start(1, 2);
    workload_state copy;
    BOOST_TEST_REQUIRE(copy.load(state.save()));
    BOOST_TEST(copy.quotas().places("hens", {1000, 0, 0, 0}) == 1);
    BOOST_TEST(copy.find(submission_id{1})->organisation == "hens");
    BOOST_TEST(decide_access(copy, "example", "/closed/1", "hen-1").organisation == "hens");
    BOOST_TEST(copy.save() == state.save());
}

// The command in the format of versions without organisations.
BOOST_FIXTURE_TEST_CASE(an_older_log_entry_is_a_submission_without_organisation, fixture)
{
    older_keep_submission older{submission_id{3}, "closed", {}};
    step_spec step;
    step.count = 1;
    older.spec.steps.push_back(step);
    const auto read = decode<accept_submission>(encode(older));
    BOOST_TEST_REQUIRE(ok(read));
    BOOST_TEST(apply(value_of(read)).code == 0);
    BOOST_TEST(state.find(submission_id{3})->organisation.empty());
}
