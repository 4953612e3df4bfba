#define BOOST_TEST_MODULE fabric_calls
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include <walkthread/fabric/fabric_node.hpp>
#include <walkthread/fabric/outstanding_calls.hpp>
#include <walkthread/node/clock.hpp>
#include <walkthread/wire/codec.hpp>

using namespace walkthread;
namespace asio = boost::asio;

namespace
{
constexpr milliseconds call_timeout{20'000}; // ends only a hanging test

std::string free_address()
{
    asio::io_context loop;
    asio::ip::tcp::acceptor probe(loop, {asio::ip::address_v4::loopback(), 0});
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

fabric_settings settings_of(const std::string& address, const std::string& leader, bool has_replica)
{
    fabric_settings settings;
    settings.name = address;
    settings.peer_address = address;
    settings.seeds = {leader};
    settings.data_folder = has_replica ? "unused" : "";
    return settings;
}

// A leader that keeps the calls it receives until the test answers them, as one without a quorum does.
class slow_leader : public fabric_node
{
  public:
    slow_leader(asio::io_context& loop, const std::string& address, decision_log& log)
        : fabric_node(loop, settings_of(address, address, true), {}, log)
    {
    }

    std::vector<call_handler> unanswered;

  protected:
    bool handle_locally(const service_call& /*body*/, const call_handler& handler) override
    {
        unanswered.push_back(handler);
        return true;
    }

    void receive(const std::string& from, mesh_message message) override
    {
        if (std::holds_alternative<leader_query>(message))
        {
            m_mesh.send(from, leader_status{true, name(), 1, {name()}});
            return;
        }
        fabric_node::receive(from, std::move(message));
    }
};

struct replying_cell
{
    asio::io_context loop;
    decision_log log;
    std::string entry_address = free_address();
    std::string leader_address = free_address();
    slow_leader leader{loop, leader_address, log};
    std::unique_ptr<fabric_node> entry;
    std::vector<std::string> replies;
    std::vector<reply_kind> outcomes;

    replying_cell()
    {
        BOOST_REQUIRE(leader.start().empty());
        start_entry();
    }

    // Starts the entry process at its address; a former process there is gone with all that it waited for.
    void start_entry()
    {
        entry.reset();
        loop.run_for(milliseconds(20)); // the former listener is closed
        entry = std::make_unique<fabric_node>(loop, settings_of(entry_address, leader_address, false),
                                              platform_hooks{}, log);
        BOOST_REQUIRE(entry->start().empty());
        BOOST_REQUIRE(run_until(
            [this]
            {
                return entry->connected();
            }));
    }

    void call(service_call body)
    {
        entry->call(std::move(body), call_timeout,
                    [this](const service_reply& reply)
                    {
                        replies.push_back(reply.text);
                        outcomes.push_back(reply.what());
                    });
    }

    // The leader has this many copies of the call, none of them answered.
    void wait_for_copies(std::size_t count)
    {
        BOOST_REQUIRE(run_until(
            [this, count]
            {
                return leader.unanswered.size() >= count;
            }));
    }

    void wait_for_outcome()
    {
        BOOST_REQUIRE(run_until(
            [this]
            {
                return !outcomes.empty();
            }));
    }

    bool run_until(const std::function<bool()>& condition)
    {
        const monotonic_time end = monotonic_now() + seconds(20);
        while (!condition() && monotonic_now() < end)
        {
            loop.run_for(milliseconds(5));
        }
        return condition();
    }
};

submit_call submit(std::uint64_t id)
{
    submit_call call;
    call.id = submission_id{id};
    return call;
}
} // namespace

// Guards against an acknowledgement of a submission that no process has stored: a reply that the leader owed
// to a killed entry process ended a call of the process that took its place.
BOOST_FIXTURE_TEST_CASE(a_reply_to_a_former_process_answers_no_call_of_its_successor, replying_cell)
{
    call(submit(1));
    BOOST_REQUIRE(run_until(
        [this]
        {
            return !leader.unanswered.empty();
        }));
    const call_handler owed = leader.unanswered.front();
    leader.unanswered.clear();
    start_entry();
    call(submit(2));
    BOOST_REQUIRE(run_until(
        [this]
        {
            return !leader.unanswered.empty();
        }));

    owed(make_reply(reply_kind::done, "submission 1"));
    loop.run_for(milliseconds(200));
    BOOST_TEST(replies.empty());

    leader.unanswered.front()(make_reply(reply_kind::done, "submission 2"));
    BOOST_TEST(run_until(
        [this]
        {
            return !replies.empty();
        }));
    BOOST_TEST((replies == std::vector<std::string>{"submission 2"}));
}

// ---------------------------------------------------------------------------------------------------------
// Several copies of one call
// ---------------------------------------------------------------------------------------------------------

namespace
{
service_reply rejection(workload_code code)
{
    service_reply reply = make_reply(reply_kind::refused, "rejected");
    reply.code = static_cast<std::int32_t>(code);
    return reply;
}
} // namespace

// Guards against a rejection of a submission that runs: the reply to an accepted copy is lost, and a later
// copy meets a configuration without the queue.
BOOST_FIXTURE_TEST_CASE(a_rejected_copy_does_not_reject_a_call_whose_earlier_copy_has_no_reply, replying_cell)
{
    call(submit(1));
    wait_for_copies(2);
    leader.unanswered[1](rejection(workload_code::unknown_queue));
    wait_for_outcome();
    BOOST_TEST((outcomes.front() == reply_kind::unknown));
}

// Guards against the same where the reply to the accepted copy is only late.
BOOST_FIXTURE_TEST_CASE(an_acceptance_that_follows_the_rejection_of_another_copy_counts, replying_cell)
{
    call(submit(1));
    wait_for_copies(2);
    leader.unanswered[1](rejection(workload_code::unknown_queue));
    leader.unanswered[0](make_reply(reply_kind::done));
    wait_for_outcome();
    BOOST_TEST((outcomes.front() == reply_kind::done));
}

// Guards against an unknown outcome, and so a caller that asks again, where every copy was rejected.
BOOST_FIXTURE_TEST_CASE(a_call_is_rejected_once_each_copy_is, replying_cell)
{
    call(submit(1));
    wait_for_copies(2);
    for (const call_handler& reply : leader.unanswered)
    {
        reply(rejection(workload_code::unknown_queue));
    }
    wait_for_outcome();
    BOOST_TEST((outcomes.front() == reply_kind::refused));
}

// Guards against a delayed rejection of a call that was sent once.
BOOST_FIXTURE_TEST_CASE(the_rejection_of_a_single_copy_ends_the_call, replying_cell)
{
    call(submit(1));
    wait_for_copies(1);
    leader.unanswered[0](rejection(workload_code::too_many));
    wait_for_outcome();
    BOOST_TEST((outcomes.front() == reply_kind::refused));
    BOOST_TEST(leader.unanswered.size() == 1U); // the call was not sent again
}

// Guards against a rejection that is not true of every copy, for each kind of rejection and of call: what
// depends on the leader's state may have differed for an earlier copy, what follows from the call may not.
BOOST_AUTO_TEST_CASE(rejections_by_kind_of_call_and_copies)
{
    struct row
    {
        service_call call;
        service_reply reply;
        bool uncertain_beside_an_unanswered_copy;
    };
    const row table[] = {
        {submit_call{}, rejection(workload_code::unknown_queue), true},
        {submit_call{}, rejection(workload_code::no_key), true},
        {submit_call{}, rejection(workload_code::unknown_key), true},
        {submit_call{}, rejection(workload_code::too_many), true},
        {submit_call{}, rejection(workload_code::id_in_use), true},
        {submit_call{}, rejection(workload_code::bad_submission), false},
        {submit_call{}, make_reply(reply_kind::unavailable), true},
        {submit_call{}, make_reply(reply_kind::isolated), true},
        {submit_call{}, make_reply(reply_kind::done), false},
        {submit_call{}, make_reply(reply_kind::unknown), false},
        {cancel_call{}, rejection(workload_code::unknown_submission), true},
        {put_configuration_call{}, rejection(workload_code::bad_configuration), false},
        {put_configuration_call{}, make_reply(reply_kind::unavailable), true},
        {begin_wave_call{}, rejection(workload_code::bad_wave), false},
        {hall_cordon_call{}, rejection(workload_code::last_hall), true},
        {state_call{}, rejection(workload_code::unknown_submission), false},
        {pending_call{}, make_reply(reply_kind::unavailable), false},
        {get_configuration_call{}, make_reply(reply_kind::unavailable), false},
    };
    for (const row& expected : table)
    {
        BOOST_TEST_CONTEXT("call " << expected.call.index() << ", code " << expected.reply.code)
        {
            outstanding_calls calls{process_life_id{1}, call_number{1}};
            outstanding_call item;
            item.body = expected.call;
            const call_number number = calls.add(std::move(item));
            calls.record_sent(number, "former leader", monotonic_time{});
            calls.record_sent(number, "leader", monotonic_time{});
            calls.record_reply(number, "leader");
            BOOST_TEST(is_uncertain_rejection(*calls.find(number), expected.reply) ==
                       expected.uncertain_beside_an_unanswered_copy);
            calls.record_reply(number, "former leader");
            BOOST_TEST(!is_uncertain_rejection(*calls.find(number), expected.reply));
        }
    }
}

// ---------------------------------------------------------------------------------------------------------
// Two lives of a process under one address, in virtual time
// ---------------------------------------------------------------------------------------------------------

namespace
{
const std::string leader_peer = "10.1.0.1:7720";
const std::string other_peer = "10.1.0.2:7720";

monotonic_time at_ms(std::int64_t ms)
{
    return monotonic_time{seconds(100)} + milliseconds(ms);
}

// Both lives number their calls from the same value, as a clash of random first numbers would.
struct two_lives
{
    outstanding_calls former{process_life_id{11}, call_number{1000}};
    outstanding_calls present{process_life_id{12}, call_number{1000}};

    static call_message send(outstanding_calls& calls, service_call body, monotonic_time now)
    {
        outstanding_call call;
        call.body = std::move(body);
        const call_number number = calls.add(std::move(call));
        calls.record_sent(number, leader_peer, now);
        return calls.make_message(number);
    }

    // A reply as a peer sends it: with the number and the life of the call, over the wire.
    static reply_message reply_to(const call_message& call, std::string text)
    {
        const reply_message reply{call.number, make_reply(reply_kind::done, std::move(text)), call.caller};
        return value_of(decode<reply_message>(encode(reply)));
    }
};
} // namespace

// Guards against the same confusion where the numbers of both lives are equal, for each kind of call.
BOOST_FIXTURE_TEST_CASE(a_late_reply_names_the_life_that_it_answers, two_lives)
{
    const service_call kinds[] = {submit_call{}, state_call{},      cancel_call{}, put_configuration_call{},
                                  leave_call{},  hall_cordon_call{}};
    for (const service_call& kind : kinds)
    {
        const call_message late = send(former, kind, at_ms(0));     // the process is killed at 600 ms
        const call_message asked = send(present, kind, at_ms(900)); // its successor asks something else
        BOOST_REQUIRE(late.number.value() == asked.number.value());
        BOOST_TEST((present.match(leader_peer, reply_to(late, "stored")) == reply_match::former_process));
        BOOST_TEST((present.match(leader_peer, reply_to(asked, "stored")) == reply_match::pending));
    }
}

// Guards against a reply that ends a call which was never sent, was sent to others only, or has timed out.
BOOST_FIXTURE_TEST_CASE(a_reply_ends_only_a_call_that_was_sent_to_its_sender, two_lives)
{
    const call_number held = present.add({}); // no leader is known yet
    reply_message reply = reply_to(present.make_message(held), "stored");
    BOOST_TEST((present.match(leader_peer, reply) == reply_match::not_sent));
    present.record_sent(held, other_peer, at_ms(100));
    BOOST_TEST((present.match(leader_peer, reply) == reply_match::not_sent));
    present.record_sent(held, leader_peer, at_ms(550));
    BOOST_TEST((present.match(leader_peer, reply) == reply_match::pending));
    BOOST_TEST(present.take(held).has_value());
    BOOST_TEST((present.match(leader_peer, reply) == reply_match::not_pending));
}

// Guards against rejecting all replies while processes of an earlier release still run: these return the
// number alone. Against them the numbers of a life have to differ from those of former ones.
BOOST_FIXTURE_TEST_CASE(a_peer_of_an_earlier_release_is_understood, two_lives)
{
    using earlier_message = msgpack::type::tuple<std::uint64_t, std::string>;
    using earlier_reply = msgpack::type::tuple<std::uint64_t, service_reply>;
    const call_message call = send(present, state_call{}, at_ms(0));
    const auto read = decode<earlier_message>(encode(call));
    BOOST_REQUIRE(ok(read));
    const auto number = value_of(read).get<0>();
    const auto reply =
        decode<reply_message>(encode(earlier_reply{number, make_reply(reply_kind::done, "running")}));
    BOOST_REQUIRE(ok(reply));
    BOOST_TEST((present.match(leader_peer, value_of(reply)) == reply_match::pending));

    outstanding_calls one = outstanding_calls::with_random_life();
    outstanding_calls another = outstanding_calls::with_random_life();
    BOOST_TEST(one.add({}).value() != another.add({}).value());
    reply_message counted_from_1;
    for (std::uint64_t number_from_1 = 1; number_from_1 <= 1000; ++number_from_1)
    {
        counted_from_1.number = call_number{number_from_1};
        BOOST_TEST((one.match(leader_peer, counted_from_1) == reply_match::not_pending));
    }
}
