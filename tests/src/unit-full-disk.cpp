#define BOOST_TEST_MODULE full_disk
#include <boost/test/unit_test.hpp>

#include "limited_disk.hpp"

using namespace walkthread;
using namespace walkthread::test;

namespace
{
constexpr std::uint64_t megabyte = 1U << 20U;

// The settings of the platform's daemon.
replica_settings daemon_settings()
{
    replica_settings settings;
    settings.snapshot_interval = 6144;
    settings.keep_entries = 6144;
    return settings;
}
} // namespace

// Configurations of 1,440 queues filled the disks of all replicas within 353 changes, and no process could
// write any more: the log was bounded by its entries, not by its bytes.
BOOST_AUTO_TEST_CASE(large_entries_do_not_fill_the_disk)
{
    constexpr std::uint64_t disk_bytes = 128 * megabyte;
    constexpr std::size_t changes = 700;
    replicas_on_disks cell(1, disk_bytes, daemon_settings());
    cell.run(seconds(2));
    for (std::size_t i = 0; i < changes; ++i)
    {
        cell.put("configuration", std::to_string(i) + std::string(360'000, 'c'));
        cell.run(milliseconds(20));
    }
    BOOST_TEST(cell.acknowledged() == changes);
    BOOST_TEST(cell.refusals() == 0U);
    BOOST_TEST(cell.disk(cell.ids().front()).peak < disk_bytes);
    BOOST_REQUIRE(cell.restart(cell.ids().front()));
    cell.run(seconds(2));
    BOOST_TEST(cell.find_lost_key() == "");
}
