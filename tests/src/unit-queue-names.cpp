#define BOOST_TEST_MODULE queue_names
#include <boost/test/unit_test.hpp>

#include <walkthread/workload/caller_access.hpp>
#include <walkthread/workload/names.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
constexpr wall_ms noon = 1'700'000'000'000;

queue_spec make_queue(const std::string& name, const std::string& prefix)
{
    queue_spec queue;
    queue.name = name;
    queue.host = "example";
    queue.path_prefix = prefix;
    queue.timeout_ms = 3000;
    queue.pool = "pool";
    queue.max_attempts = 2;
    return queue;
}

// What a caller is told about a submission.
enum class told : std::uint8_t
{
    state,       // 200
    no_such_id,  // 410
    no_such_path // 404
};

std::ostream& operator<<(std::ostream& out, told what)
{
    return out << (what == told::state ? "200" : what == told::no_such_id ? "410" : "404");
}

// A state whose queues change. Submission 1 was accepted at /a/, submission 2 at /b/.
struct fixture
{
    workload_state state;
    std::uint64_t version = 0;

    fixture()
    {
        configure({make_queue("a", "/a/"), make_queue("b", "/b/")});
        accept(1, "a", "/a/");
        accept(2, "b", "/b/");
    }
    void configure(std::vector<queue_spec> queues)
    {
        cluster_configuration next;
        next.version = ++version;
        next.pools.push_back({"pool", false, false});
        next.queues = std::move(queues);
        BOOST_REQUIRE(state.apply(noon, replace_cluster_configuration{next}).code == 0);
    }
    workload_result accept(std::uint64_t id, const std::string& queue, const std::string& prefix)
    {
        accept_submission command;
        command.id = submission_id{id};
        command.queue = queue;
        command.route = "example" + prefix;
        command.spec.steps.emplace_back().count = 1;
        return state.apply(noon, command);
    }
    [[nodiscard]] access_decision caller(const std::string& prefix, std::uint64_t id) const
    {
        return decide_access(state, "example", prefix + name_of(submission_id{id}), {});
    }
    [[nodiscard]] told ask(const std::string& prefix, std::uint64_t id) const
    {
        const access_decision access = caller(prefix, id);
        const bool path_known =
            access.allowed() && !addresses_removed_queue(state, access, submission_id{id});
        return !path_known                                                    ? told::no_such_path
               : find_for_caller(state, access, submission_id{id}) != nullptr ? told::state
                                                                              : told::no_such_id;
    }
    // The same answers after a restart from a snapshot.
    void reload()
    {
        const std::string stored = state.save();
        BOOST_REQUIRE(state.load(stored));
    }
};
} // namespace

// Guards against an accepted submission that is unknown, cannot be cancelled, is refused when sent again and
// is missing among those that wait, because an operator gave its queue another name.
BOOST_FIXTURE_TEST_CASE(a_renamed_queue_keeps_its_submissions, fixture)
{
    for (const char* name : {"first", "second", "a"})
    {
        configure({make_queue(name, "/a/"), make_queue("b", "/b/")});
        reload();
        BOOST_TEST(ask("/a/", 1) == told::state);
        BOOST_TEST(ask("/b/", 1) == told::no_such_id);
        BOOST_TEST(state.queued(name) == 1U);
        BOOST_TEST(accept(1, name, "/a/").code == 0);
        BOOST_TEST(state.submissions().size() == 2U);
        BOOST_TEST(state.queue_of(*state.find(submission_id{1}))->name == name);
    }
    configure({make_queue("third", "/a/"), make_queue("b", "/b/")});
    const submission& owner = *find_for_caller(state, caller("/a/", 1), submission_id{1});
    BOOST_TEST(state.apply(noon, cancel_submission{owner.id, owner.queue}).code == 0);
    BOOST_TEST((state.find(submission_id{1})->state() == submission_phase::cancelled));
    BOOST_TEST(ask("/a/", 1) == told::state);
    configure({make_queue("fourth", "/a/"), make_queue("b", "/b/")});
    BOOST_TEST(ask("/a/", 1) == told::state); // its outcome as well
}

// Guards against callers who see the work of another queue because two queues swap names.
BOOST_FIXTURE_TEST_CASE(queues_that_swap_names_keep_their_submissions, fixture)
{
    configure({make_queue("b", "/a/"), make_queue("a", "/b/")});
    reload();
    BOOST_TEST(ask("/a/", 1) == told::state);
    BOOST_TEST(ask("/b/", 2) == told::state);
    BOOST_TEST(ask("/b/", 1) == told::no_such_id);
    BOOST_TEST(ask("/a/", 2) == told::no_such_id);
    BOOST_TEST(state.queued("a") == 1U);
    BOOST_TEST(accept(2, "a", "/b/").code == 0);
    BOOST_TEST(accept(2, "b", "/a/").code == static_cast<std::int32_t>(workload_code::id_in_use));
}

// Guards against a submission that another queue takes over: the names change between the proposal of a
// command and its application.
BOOST_FIXTURE_TEST_CASE(a_command_counts_for_the_route_and_not_for_the_name, fixture)
{
    configure({make_queue("b", "/a/"), make_queue("a", "/b/")});
    BOOST_TEST(accept(3, "a", "/a/").code == 0); // proposed under the former names
    BOOST_TEST(ask("/a/", 3) == told::state);
    BOOST_TEST(ask("/b/", 3) == told::no_such_id);
    BOOST_TEST(accept(1, "a", "/a/").code == 0);
    configure({make_queue("b", "/b/")});
    BOOST_TEST(accept(4, "a", "/a/").code == static_cast<std::int32_t>(workload_code::unknown_queue));
    BOOST_TEST(accept(1, "a", "/a/").code == 0);
}

// Guards against an accepted submission that is unknown under its own address, because a longer path prefix
// was given to another queue.
BOOST_FIXTURE_TEST_CASE(a_route_that_is_split_keeps_its_submissions, fixture)
{
    configure({make_queue("a", "/a/"), make_queue("split", "/a/0000000000"), make_queue("b", "/b/")});
    reload();
    BOOST_TEST(caller("/a/", 1).queue->name == "split");
    BOOST_TEST(ask("/a/", 1) == told::state);
    BOOST_TEST(ask("/a/", 2) == told::no_such_id);
    BOOST_TEST(ask("/a/", 99) == told::no_such_id);
}

// Guards against work that is unknown after its queue got a longer or shorter path prefix under its name.
BOOST_FIXTURE_TEST_CASE(a_queue_with_another_prefix_keeps_its_submissions, fixture)
{
    for (const char* prefix : {"/a/longer/", "/s/", "/a/"})
    {
        configure({make_queue("a", prefix), make_queue("b", "/b/")});
        reload();
        BOOST_TEST(ask(prefix, 1) == told::state);
        BOOST_TEST(ask("/b/", 1) == told::no_such_id);
        BOOST_TEST(state.queued("a") == 1U);
        BOOST_TEST(state.unfinished("example" + std::string(prefix)) == 1U);
    }
    configure({make_queue("a", "/moved/"), make_queue("b", "/b/")});
    BOOST_TEST(ask("/a/", 1) == told::no_such_path);
    // Its former route is another queue's now.
    configure({make_queue("a", "/moved/"), make_queue("new", "/a/"), make_queue("b", "/b/")});
    BOOST_TEST(ask("/a/", 1) == told::state);
    BOOST_TEST(ask("/moved/", 1) == told::no_such_id);
}

// Guards against a 410 for accepted work of a removed queue, and against its work under a name that is used
// for another route since.
BOOST_FIXTURE_TEST_CASE(a_removed_route_is_its_own_when_it_returns, fixture)
{
    configure({make_queue("b", "/b/"), make_queue("all", "/")});
    reload();
    BOOST_TEST(ask("/a/", 1) == told::no_such_path);
    BOOST_REQUIRE(state.queue_of(*state.find(submission_id{1})) != nullptr);
    BOOST_TEST(state.queue_of(*state.find(submission_id{1}))->name == "a");
    configure({make_queue("b", "/b/"), make_queue("a", "/z/")});
    BOOST_TEST(ask("/z/", 1) == told::no_such_id);
    BOOST_TEST(state.queued("a") == 0U);
    configure({make_queue("b", "/b/"), make_queue("back", "/a/")});
    reload();
    BOOST_TEST(ask("/a/", 1) == told::state);
    BOOST_TEST(state.queued("back") == 1U);
    // A renamed queue that is removed later needs its settings as well.
    configure({make_queue("b", "/b/")});
    BOOST_REQUIRE(state.queue_of(*state.find(submission_id{1})) != nullptr);
    BOOST_TEST(state.queue_of(*state.find(submission_id{1}))->name == "back");
}

// Guards against a rename by which an organisation sees the work of another one.
BOOST_FIXTURE_TEST_CASE(a_renamed_queue_keeps_organisations_apart, fixture)
{
    accept_submission command;
    command.id = submission_id{5};
    command.queue = "a";
    command.route = "example/a/";
    command.organisation = "one";
    command.spec.steps.emplace_back().count = 1;
    BOOST_REQUIRE(state.apply(noon, command).code == 0);
    configure({make_queue("renamed", "/a/"), make_queue("b", "/b/")});
    access_decision other = caller("/a/", 5);
    other.organisation = "two";
    BOOST_TEST(find_for_caller(state, other, submission_id{5}) == nullptr);
    other.organisation = "one";
    BOOST_TEST(find_for_caller(state, other, submission_id{5}) != nullptr);
}

// Guards against work that stands still or runs again, and a wrong count of what waits, while the queue gets
// other names, under changing leaders.
BOOST_AUTO_TEST_CASE(work_of_a_renamed_queue_completes)
{
    simulated_pool pool(small_pool_settings(2));
    pool.start_leader();
    pool.run(seconds(1));
    std::vector<submission_id> ids;
    for (int i = 0; i < 12; ++i)
    {
        step_spec step;
        step.count = 4;
        step.size = {4000, 100, 0, 0};
        step.estimate_ms = 800;
        step_spec second = step;
        second.after = {0};
        ids.push_back(pool.submit("plain", {step, second}));
    }
    pool.run(milliseconds(100));
    std::string name = "plain";
    for (int i = 0; i < 6; ++i)
    {
        pool.run(milliseconds(700));
        const std::uint32_t waiting = pool.state().queued(name);
        pool.change_configuration(
            [&](cluster_configuration& next)
            {
                for (queue_spec& queue : next.queues)
                {
                    queue.name = queue.name == name ? "plain-" + std::to_string(i) : queue.name;
                }
            });
        name = "plain-" + std::to_string(i);
        BOOST_TEST(pool.state().queued(name) == waiting);
        i % 2 == 0 ? pool.restart_from_snapshot() : pool.start_leader();
    }
    pool.run(seconds(40));
    for (const submission_id id : ids)
    {
        BOOST_TEST((pool.phase(id) == submission_phase::completed), id.value() << " is unfinished");
    }
    check_invariants(pool);
}
