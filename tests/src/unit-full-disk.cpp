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

// Proposes values for three keys in turn, one every 20 ms. Returns how many of them are acknowledged.
std::size_t put_values(replicas_on_disks& cell, std::size_t count, std::size_t bytes)
{
    const std::size_t before = cell.acknowledged();
    for (std::size_t i = 0; i < count; ++i)
    {
        cell.put("key " + std::to_string(i % 3), bytes);
        cell.run(milliseconds(20));
    }
    cell.run(seconds(1));
    return cell.acknowledged() - before;
}

replica_id find_follower(replicas_on_disks& cell)
{
    const std::optional<replica_id> leader = cell.leader_id();
    BOOST_REQUIRE(leader.has_value());
    return cell.ids().front() == *leader ? cell.ids().back() : cell.ids().front();
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
        cell.put("configuration", 360'000);
        cell.run(milliseconds(20));
    }
    BOOST_TEST(cell.acknowledged() == changes);
    BOOST_TEST(cell.refusals() == 0U);
    BOOST_TEST(cell.disk(cell.ids().front()).peak < disk_bytes);
    BOOST_REQUIRE(cell.restart(cell.ids().front()));
    cell.run(seconds(2));
    BOOST_TEST(cell.find_lost_key() == "");
}

// ---------------------------------------------------------------------------------------------------------
// A snapshot that the disk refuses
// ---------------------------------------------------------------------------------------------------------

// A refused snapshot counted as stored, so the next rewriting of the log dropped the entries before it. The
// process could not start again, as its log began behind a snapshot that was not there.
BOOST_AUTO_TEST_CASE(a_refused_snapshot_does_not_replace_the_log)
{
    replica_settings settings = daemon_settings();
    settings.snapshot_interval = 50;
    settings.keep_entries = 10;
    replicas_on_disks cell(1, 128 * megabyte, settings);
    const replica_id only = cell.ids().front();
    cell.run(seconds(2));
    cell.disk(only).refused_file = "snapshot";
    put_values(cell, 60, 100'000);
    cell.disk(only).refused_file = "never";
    put_values(cell, 30, 100'000);
    BOOST_TEST(cell.acknowledged() == 90U);
    BOOST_TEST(cell.restart(only), cell.error());
    cell.run(seconds(2));
    BOOST_TEST(cell.find_lost_key() == "");
}

// The same for a snapshot from the leader: it replaces the follower's log only once it is on the disk.
BOOST_AUTO_TEST_CASE(a_received_snapshot_that_is_refused_does_not_replace_the_log)
{
    replica_settings settings = daemon_settings();
    settings.snapshot_interval = 50;
    settings.keep_entries = 10;
    replicas_on_disks cell(3, 128 * megabyte, settings);
    cell.run(seconds(2));
    const replica_id behind = find_follower(cell);
    put_values(cell, 20, 400'000);
    cell.cut_off(behind);
    put_values(cell, 80, 1'000);
    cell.disk(behind).refused_file = "snapshot";
    cell.heal();
    cell.run(seconds(5));
    BOOST_REQUIRE_MESSAGE(cell.restart(behind), cell.error());
    cell.run(seconds(5));
    cell.disk(behind).refused_file.clear();
    cell.run(seconds(5));
    BOOST_TEST(cell.group_of(behind).applied().value() >= 100U);
    BOOST_REQUIRE_MESSAGE(cell.restart(behind), cell.error());
    put_values(cell, 10, 1'000);
    BOOST_TEST(cell.find_lost_key() == "");
}
