#define BOOST_TEST_MODULE fabric_advisors
#include <boost/test/unit_test.hpp>

#include <walkthread/fabric/advisor_query_queue.hpp>

using namespace walkthread;

// Each client process reports 2.2 times a second. If a report costs a visit of all clients, the work at the
// leader grows with the square of their number.
BOOST_AUTO_TEST_CASE(the_work_for_a_report_does_not_depend_on_the_number_of_clients)
{
    constexpr std::uint64_t rounds = 20;
    for (const std::uint64_t clients : {100U, 600U, 1200U})
    {
        std::vector<advisor_query_queue::answer_handler> asked;
        advisor_query_queue queue(
            [&asked](const std::string&, const advice_question&, advisor_query_queue::answer_handler handler)
            {
                asked.push_back(std::move(handler));
            });
        monotonic_time now{seconds(100)};
        queue.set_clock(
            [&now]
            {
                return now;
            });
        std::uint64_t answers = 0;
        for (std::uint64_t round = 0; round < rounds; ++round)
        {
            for (std::uint64_t client = 0; client < clients; ++client)
            {
                queue.record_client("10.0.0.1:" + std::to_string(client), now);
            }
            queue.enqueue(
                {}, round % 2 == 0,
                [&answers](const advice_answer&)
                {
                    ++answers;
                },
                now);
            BOOST_TEST(queue.mostly_idle(now));
            asked.back()({round % 3 != 0, {}, {}, 0});
            now += milliseconds(450);
        }
        BOOST_TEST(answers == rounds);
        BOOST_TEST(queue.clients_examined() <= 2 * rounds * (clients + 10));
    }
}
