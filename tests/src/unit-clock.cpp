#define BOOST_TEST_MODULE clock
#include <boost/test/unit_test.hpp>

#include <sys/syscall.h>
#include <unistd.h>

#include <walkthread/node/clock.hpp>

using namespace walkthread;

// Replaces clock_gettime in this program to simulate a suspended machine: CLOCK_MONOTONIC stops meanwhile,
// the other clocks advance.
namespace
{
std::int64_t suspended_s = 0;
}

extern "C" int clock_gettime(clockid_t clock, timespec* out) noexcept
{
    const auto outcome = static_cast<int>(syscall(SYS_clock_gettime, clock, out));
    out->tv_sec += clock == CLOCK_MONOTONIC ? 0 : suspended_s;
    return outcome;
}

// Leases, timeouts and idle times are measured with this clock. If it stopped during a suspension, a leader
// that resumes would act as if its lease were still valid, although another leader may have taken over.
BOOST_AUTO_TEST_CASE(monotonic_time_advances_while_the_machine_is_suspended)
{
    const monotonic_time before = monotonic_now();
    const duration so_far = total_suspended_time();
    suspended_s = 7;
    BOOST_TEST((monotonic_now() - before >= seconds(7)));
    BOOST_TEST((total_suspended_time() - so_far >= milliseconds(6900))); // the two clocks are read in turn
    BOOST_TEST((monotonic_now() - before < seconds(60)));
}
