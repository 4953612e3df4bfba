#define BOOST_TEST_MODULE full_disk
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <random>

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

class random_disk_day
{
  public:
    explicit random_disk_day(std::uint64_t seed)
        : m_random(seed), m_cell(3, disk_bytes, random_settings(), seed)
    {
    }

    void play()
    {
        m_cell.run(seconds(2));
        for (int step = 0; step < 150; ++step)
        {
            strike();
            m_cell.put("key " + std::to_string(below(4)), below(60'000));
            m_cell.run(milliseconds(10 + 10 * static_cast<std::int64_t>(below(20))));
        }
        recover();
        BOOST_TEST(m_cell.put_until_acknowledged("last", 10, seconds(20)));
        BOOST_TEST(m_cell.find_lost_key() == "");
        restart_all();
        m_cell.run(seconds(5));
        BOOST_TEST(m_cell.find_lost_key() == "");
        for (int i = 0; i < 40; ++i)
        {
            m_cell.put_until_acknowledged("key " + std::to_string(i % 4), 60'000, seconds(5));
        }
        for (const replica_id& id : m_cell.ids())
        {
            BOOST_TEST(m_cell.disk(id).used() < disk_bytes / 2);
        }
    }

  private:
    static constexpr std::uint64_t disk_bytes = 4 * megabyte;

    replica_settings random_settings()
    {
        replica_settings settings = daemon_settings();
        settings.snapshot_interval = 20 + below(200);
        settings.keep_entries = below(100);
        return settings;
    }

    void strike()
    {
        const replica_id& id = m_cell.ids()[below(m_cell.ids().size())];
        limited_disk& disk = m_cell.disk(id);
        switch (below(12))
        {
        case 0:
            disk.refused_file = "snapshot";
            break;
        case 1:
            disk.refused_file = "wal";
            break;
        case 2:
            disk.refused_file = "wal-" + std::to_string(1 + below(4));
            break;
        case 3:
            disk.taken_by_others = disk_bytes - std::min(disk_bytes, disk.used() + below(200'000));
            break;
        case 4:
            disk.refused_file.clear();
            disk.taken_by_others = 0;
            break;
        case 5:
            m_cell.cut_off(id);
            break;
        case 6:
            m_cell.heal();
            break;
        case 7:
            BOOST_REQUIRE_MESSAGE(m_cell.restart(id), m_cell.error());
            break;
        case 8:
            if (below(4) == 0)
            {
                restart_all();
            }
            break;
        default:
            break;
        }
    }

    void restart_all()
    {
        for (const replica_id& id : m_cell.ids())
        {
            m_cell.stop(id);
        }
        for (const replica_id& id : m_cell.ids())
        {
            BOOST_REQUIRE_MESSAGE(m_cell.start(id), m_cell.error());
        }
    }

    void recover()
    {
        m_cell.heal();
        for (const replica_id& id : m_cell.ids())
        {
            m_cell.disk(id).refused_file.clear();
            m_cell.disk(id).taken_by_others = 0;
        }
        m_cell.run(seconds(20));
    }

    std::uint64_t below(std::uint64_t limit)
    {
        return m_random() % limit;
    }

    std::mt19937_64 m_random;
    replicas_on_disks m_cell;
};
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

// A snapshot was refused while output waited for the log. The replica then counted that output as durable,
// and a leader committed entries that one disk too few had.
BOOST_AUTO_TEST_CASE(output_that_waits_behind_a_refused_snapshot_is_not_durable)
{
    replica_settings settings = daemon_settings();
    settings.snapshot_interval = 1;
    replicas_on_disks cell(1, 128 * megabyte, settings);
    const replica_id only = cell.ids().front();
    cell.run(seconds(2));
    put_values(cell, 3, 1'000);
    replica_storage& storage = cell.storage_of(only);
    cell.disk(only).refused_file = "snapshot";
    replicated_group& group = cell.group_of(only);
    const monotonic_time later = cell.now() + seconds(60);
    const auto add_entry = [&]
    {
        BOOST_REQUIRE(ok(group.core().propose("key=1", later)));
        storage.add(group.core().take_output(later));
    };
    add_entry();
    std::optional<disk_task> task = storage.next_task(later);
    BOOST_REQUIRE(task && task->kind == disk_work::log_write);
    BOOST_TEST(storage.finish(task->run(), later).log_durable);
    group.core().synced(later);
    group.apply(group.core().take_output(later));
    add_entry();
    task = storage.next_task(later);
    BOOST_REQUIRE(task && task->kind == disk_work::snapshot);
    const disk_report report = storage.finish(task->run(), later);
    BOOST_TEST(report.refuses_maintenance);
    BOOST_TEST(!report.log_durable);
    BOOST_TEST(storage.busy());
    task = storage.next_task(later);
    BOOST_REQUIRE(task && task->kind == disk_work::log_write);
    BOOST_TEST(storage.finish(task->run(), later).log_durable);
}

// ---------------------------------------------------------------------------------------------------------
// A disk with too little room
// ---------------------------------------------------------------------------------------------------------

// After a restart on nearly full disks, each replica tried to rewrite its log, was refused, declined to lead
// and tried again without end, so that no leader was elected although the log could still be written.
BOOST_AUTO_TEST_CASE(a_refused_rewriting_does_not_stop_the_log)
{
    replicas_on_disks cell(3, 128 * megabyte, daemon_settings());
    cell.run(seconds(2));
    for (const replica_id& id : cell.ids())
    {
        cell.disk(id).refused_file = "wal-2";
    }
    put_values(cell, 40, 360'000);
    BOOST_TEST(cell.acknowledged() == 40U);
    BOOST_TEST(cell.refusals() == 0U);
    for (const replica_id& id : cell.ids())
    {
        BOOST_REQUIRE_MESSAGE(cell.restart(id), cell.error());
    }
    cell.run(seconds(5));
    BOOST_TEST(cell.leader_id().has_value());
    put_values(cell, 10, 1'000);
    BOOST_TEST(cell.acknowledged() == 50U);
    BOOST_TEST(cell.find_lost_key() == "");
}

// A refused rewriting left its unfinished file behind, which took the space that was missing.
BOOST_AUTO_TEST_CASE(a_refused_rewriting_leaves_no_file)
{
    replicas_on_disks cell(1, 128 * megabyte, daemon_settings());
    const replica_id only = cell.ids().front();
    cell.run(seconds(2));
    put_values(cell, 20, 360'000);
    cell.disk(only).taken_by_others = cell.disk(only).capacity - cell.disk(only).used() - 3 * megabyte;
    put_values(cell, 5, 360'000);
    cell.run(seconds(5));
    BOOST_TEST(!std::filesystem::exists(cell.disk(only).path + "/wal-2.new"));
    cell.disk(only).taken_by_others = 0;
    cell.run(seconds(20));
    BOOST_TEST(put_values(cell, 5, 360'000) == 5U);
    BOOST_TEST(cell.disk(only).used() < 12 * megabyte);
}

// A process that ended while it replaced a file, or before it removed the log that it had rewritten, left
// files that took space for good.
BOOST_AUTO_TEST_CASE(files_left_by_a_killed_process_are_removed)
{
    replicas_on_disks cell(1, 128 * megabyte, daemon_settings());
    const replica_id only = cell.ids().front();
    cell.run(seconds(2));
    const std::string path = cell.disk(only).path;
    put_values(cell, 10, 10'000);
    std::filesystem::copy_file(path + "/wal-1", path + "/wal-2");
    std::filesystem::copy_file(path + "/wal-1", path + "/wal-3.new");
    BOOST_REQUIRE_MESSAGE(cell.restart(only), cell.error());
    cell.run(seconds(2));
    BOOST_TEST(!std::filesystem::exists(path + "/wal-1"));
    BOOST_TEST(!std::filesystem::exists(path + "/wal-3.new"));
    BOOST_TEST(put_values(cell, 5, 1'000) == 5U);
    BOOST_TEST(cell.find_lost_key() == "");
}

// ---------------------------------------------------------------------------------------------------------
// Random days
// ---------------------------------------------------------------------------------------------------------

// Refused writes of any file, disks filled by others, replicas cut off and restarted, one or all at once:
// what was acknowledged stays, each folder can be opened again, and its size stays below its limit.
BOOST_AUTO_TEST_CASE(random_refusals_lose_nothing_acknowledged)
{
    const char* asked = std::getenv("WALKTHREAD_SEEDS");
    const char* first = std::getenv("WALKTHREAD_FIRST_SEED");
    const std::uint64_t from = first == nullptr ? 1 : std::strtoull(first, nullptr, 10);
    const std::uint64_t count = asked == nullptr ? 40 : std::strtoull(asked, nullptr, 10);
    for (std::uint64_t seed = from; seed < from + count; ++seed)
    {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            random_disk_day(seed).play();
        }
    }
}
