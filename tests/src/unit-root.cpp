#define BOOST_TEST_MODULE root
#include <boost/test/unit_test.hpp>

#include <walkthread/policy/hall_choice.hpp>
#include <walkthread/state/root.hpp>

using namespace walkthread;

namespace
{
constexpr organisation_id one{1};
constexpr organisation_id two{2};

put_template make_template(const std::string& name, workload_kind kind = workload_kind::batch)
{
    put_template out;
    out.organisation = one;
    out.request_id = "template " + name;
    out.content.name = name;
    out.content.kind = static_cast<std::uint8_t>(kind);
    out.content.defaults = parameters{{1000, 1024, 0, 1}, 2, 1, 60, {}};
    out.content.limits = parameters{{4000, 4096, 0, 1}, 10, 3, 0, {}};
    return out;
}

put_configuration make_change(const std::string& request, std::uint64_t expected, std::uint32_t tasks = 0)
{
    put_configuration out;
    out.organisation = one;
    out.request_id = request;
    out.name = "night";
    out.expected = version_id{expected};
    out.template_name = "check";
    out.values.tasks = tasks;
    out.given = tasks == 0 ? 0 : static_cast<std::uint8_t>(parameter_field::tasks);
    out.parts = {{hall_id{1}, tasks == 0 ? 2 : tasks}};
    return out;
}

root_state with_template()
{
    root_state root;
    root.apply(0, make_template("check"));
    return root;
}
} // namespace

BOOST_AUTO_TEST_CASE(one_of_two_concurrent_changes_wins)
{
    root_state root = with_template();
    BOOST_TEST(root.apply(1, make_change("a", 0, 3)).code == 0);
    const root_result lost = root.apply(1, make_change("b", 0, 4));
    BOOST_TEST(lost.code == static_cast<int>(state_code::version_conflict));
    BOOST_TEST(lost.version.value() == 1U);
    BOOST_TEST(root.configurations().begin()->second.values.tasks == 3U);
}

BOOST_AUTO_TEST_CASE(a_resend_gets_the_first_answer_and_starts_no_job)
{
    root_state root = with_template();
    const root_result first = root.apply(1, make_change("a", 0));
    root.apply(2, make_change("b", 1));
    const root_result again = root.apply(3, make_change("a", 0));
    BOOST_TEST(again.version.value() == first.version.value());
    BOOST_TEST((again.jobs == first.jobs));
    BOOST_TEST(root.jobs().size() == 2U);
    put_configuration other = make_change("a", 0, 9);
    BOOST_TEST(root.apply(4, other).code == static_cast<int>(state_code::request_id_reused));
}

// A command that is sent again is the same command, even if the leader now chooses other halls.
BOOST_AUTO_TEST_CASE(a_resend_with_another_choice_of_halls_is_the_same_command)
{
    root_state root = with_template();
    const root_result first = root.apply(1, make_change("a", 0));
    put_configuration again = make_change("a", 0);
    again.parts = {{hall_id{2}, 2}};
    BOOST_TEST((root.apply(2, again).jobs == first.jobs));
}

BOOST_AUTO_TEST_CASE(missing_parameters_come_from_the_template)
{
    root_state root = with_template();
    root.apply(1, make_change("a", 0));
    const parameters& values = root.configurations().begin()->second.values;
    BOOST_TEST(values.size.cpu == 1000);
    BOOST_TEST(values.tasks == 2U);
}

BOOST_AUTO_TEST_CASE(limits_of_the_template_hold)
{
    root_state root = with_template();
    BOOST_TEST(root.apply(1, make_change("a", 0, 11)).code ==
               static_cast<int>(state_code::over_template_limit));
}

BOOST_AUTO_TEST_CASE(a_withdrawal_cancels_and_versions_go_on)
{
    root_state root = with_template();
    const root_result made = root.apply(1, make_change("a", 0));
    const root_result gone = root.apply(2, withdraw_configuration{one, "w", "night", version_id{1}});
    BOOST_TEST(gone.version.value() == 2U);
    BOOST_TEST(root.jobs().at(made.jobs.front()).cancelled);
    BOOST_TEST(root.apply(3, make_change("b", 2)).version.value() == 3U);
}

BOOST_AUTO_TEST_CASE(an_organisation_cannot_change_work_of_another)
{
    root_state root = with_template();
    const root_result made = root.apply(1, make_change("a", 0));
    BOOST_TEST(root.apply(2, cancel_jobs{two, "x", made.jobs}).jobs.empty());
    BOOST_TEST(!root.jobs().at(made.jobs.front()).cancelled);
    const root_result gone = root.apply(2, withdraw_configuration{two, "w", "night", version_id{1}});
    BOOST_TEST(gone.code == static_cast<int>(state_code::unknown_name));
}

BOOST_AUTO_TEST_CASE(an_end_reported_twice_counts_once)
{
    root_state root = with_template();
    put_configuration change = make_change("a", 0, 4);
    change.parts = {{hall_id{1}, 2}, {hall_id{2}, 2}};
    const job_id job = root.apply(1, change).jobs.front();
    const job_end end{job, hall_id{1}, static_cast<std::uint8_t>(job_outcome::completed)};
    root.apply(2, finish_jobs{{end, end}});
    BOOST_TEST(root.jobs().size() == 1U);
    root.apply(3, finish_jobs{{{job, hall_id{2}, static_cast<std::uint8_t>(job_outcome::failed)}}});
    BOOST_TEST(root.jobs().empty());
    BOOST_TEST(root.ended_jobs().at(job).outcome == static_cast<std::uint8_t>(job_outcome::failed));
}

BOOST_AUTO_TEST_CASE(request_ids_are_forgotten_after_a_day)
{
    constexpr wall_ms day = wall_ms{24} * 3600 * 1000;
    root_state root = with_template();
    root.apply(1, make_change("a", 0));
    const std::size_t before = root.save().size();
    root.apply(day + 2, make_change("b", 1));
    const root_result again = root.apply(day + 3, make_change("a", 0));
    BOOST_TEST(again.code == static_cast<int>(state_code::version_conflict));
    BOOST_TEST(root.save().size() < 2 * before);
}

BOOST_AUTO_TEST_CASE(a_state_loaded_from_a_snapshot_is_the_same)
{
    root_state root = with_template();
    root.apply(1, make_change("a", 0));
    root_state copy;
    BOOST_REQUIRE(copy.load(root.save()));
    BOOST_TEST(copy.save() == root.save());
    BOOST_TEST(copy.apply(2, make_change("a", 0)).version.value() == 1U);
}

BOOST_AUTO_TEST_CASE(halls_are_chosen_by_free_capacity)
{
    const hall_load empty{{100'000, 100'000, 0, 80}, {}, {16'000, 65'536, 0, 8}, {}, false};
    hall_load full = empty;
    full.reserved = {90'000, 90'000, 0, 72};
    const std::map<hall_id, hall_load> halls{
        {hall_id{1}, full}, {hall_id{2}, empty}, {hall_id{3}, hall_load{}}};
    const parameters values{{1000, 1024, 0, 1}, 4, 1, 60, {}};
    const auto batch = choose_halls(halls, workload_kind::batch, values);
    BOOST_REQUIRE(ok(batch));
    BOOST_TEST(value_of(batch).front().hall.value() == 2);
    const auto service = choose_halls(halls, workload_kind::service, values);
    BOOST_TEST(value_of(service).size() == 2U);
    parameters giant = values;
    giant.size.cpu = 64'000;
    giant.halls = {hall_id{1}};
    BOOST_TEST(
        (error_of(choose_halls(halls, workload_kind::batch, giant)).code == state_code::never_runnable));
}

// A job must not wait in a cordoned hall while another one would start it. One that may use no other hall
// waits.
BOOST_AUTO_TEST_CASE(cordoned_halls_are_chosen_last)
{
    const hall_load open{
        {100'000, 100'000, 0, 80}, {90'000, 90'000, 0, 72}, {16'000, 65'536, 0, 8}, {}, false};
    const hall_load cordoned{{100'000, 100'000, 0, 80}, {}, {16'000, 65'536, 0, 8}, {}, true};
    const std::map<hall_id, hall_load> halls{{hall_id{1}, open}, {hall_id{2}, cordoned}};
    parameters values{{1000, 1024, 0, 1}, 4, 1, 60, {}};
    BOOST_TEST(value_of(choose_halls(halls, workload_kind::batch, values)).front().hall.value() == 1);
    BOOST_TEST(value_of(choose_halls(halls, workload_kind::service, values)).size() == 1U);
    values.halls = {hall_id{2}};
    BOOST_TEST(value_of(choose_halls(halls, workload_kind::batch, values)).front().hall.value() == 2);
}
