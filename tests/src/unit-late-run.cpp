#define BOOST_TEST_MODULE late_run
#include <boost/test/unit_test.hpp>

#include "small_pool.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
class late_start_pool : public simulated_pool
{
  public:
    using simulated_pool::simulated_pool;

    // The worker's process executes the first order to start a task there.
    void execute_late_start(const std::string& incarnation)
    {
        execute_start(m_workers[incarnation], m_first_start.at(incarnation), true);
    }

  protected:
    dispatch_hooks hooks() override
    {
        dispatch_hooks out = simulated_pool::hooks();
        out.start = [this, send = out.start](const start_task_order& order,
                                             const std::function<void(const order_answer&)>& handler)
        {
            m_first_start.emplace(order.to.id, order);
            send(order, handler);
        };
        return out;
    }

  private:
    std::map<std::string, start_task_order> m_first_start;
};
} // namespace

// The first answer of a new incarnation lists a run that an order for a former one began. The task was
// started again while that run was being stopped.
BOOST_AUTO_TEST_CASE(a_task_does_not_start_while_a_late_run_of_it_is_being_stopped)
{
    late_start_pool pool(small_pool_settings(1));
    pool.start_leader();
    pool.run(seconds(1));
    pool.faults("w0").late = 1.0;
    pool.submit("plain", {make_step(1, 2000, 20'000)});
    pool.run(milliseconds(100));
    pool.restart("w0", milliseconds(300));
    pool.run(seconds(2));
    BOOST_REQUIRE(pool.running_on("w0") == 1U);
    pool.restart("w0", milliseconds(300));
    pool.run(milliseconds(300));
    pool.execute_late_start("w0");
    pool.run(seconds(5));
    check_invariants(pool);
}
