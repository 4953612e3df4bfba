#define BOOST_TEST_MODULE storage
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>

#include <walkthread/storage/data_folder.hpp>

using namespace walkthread;

namespace
{
constexpr group_id group{1};

// A temporary folder that is removed when the test ends.
struct temporary_folder
{
    temporary_folder()
        : path((std::filesystem::temp_directory_path() / ("walkthread-test-" + std::to_string(::getpid())))
                   .string())
    {
        std::filesystem::remove_all(path);
    }
    ~temporary_folder()
    {
        std::filesystem::remove_all(path);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    std::string path;
};

folder_identity identity()
{
    return {node_id{1}, incarnation_id{7}, {}};
}

std::unique_ptr<data_folder> open_valid(const std::string& path)
{
    auto opened = data_folder::open(path, identity());
    BOOST_REQUIRE(ok(opened));
    return std::move(value_of(opened));
}

replica_output entries(std::uint64_t first, std::uint64_t last, std::uint64_t term)
{
    replica_output out;
    out.state = hard_state{term_id{term}, {}};
    for (std::uint64_t i = first; i <= last; ++i)
    {
        out.append.push_back(log_entry{log_index{i}, term_id{term}, 0, "entry " + std::to_string(i)});
    }
    return out;
}

void write(data_folder& folder, const replica_output& output)
{
    folder.add(group, output);
    BOOST_REQUIRE(ok(folder.sync()));
}

std::string log_path(const temporary_folder& folder)
{
    return folder.path + "/wal-1";
}

std::string read_all(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream out;
    out << file.rdbuf();
    return out.str();
}

void write_all(const std::string& path, const std::string& bytes)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}
} // namespace

BOOST_AUTO_TEST_CASE(synced_records_survive_reopen)
{
    const temporary_folder scratch;
    write(*open_valid(scratch.path), entries(1, 5, 2));
    const replica_start found = open_valid(scratch.path)->take_recovered_state(group);
    BOOST_TEST(found.entries.size() == 5U);
    BOOST_TEST(found.state.term.value() == 2U);
}

BOOST_AUTO_TEST_CASE(a_later_entry_replaces_those_at_its_index_and_after_it)
{
    const temporary_folder scratch;
    const auto folder = open_valid(scratch.path);
    write(*folder, entries(1, 5, 1));
    write(*folder, entries(3, 3, 2));
    const replica_start found = open_valid(scratch.path)->take_recovered_state(group);
    BOOST_REQUIRE_EQUAL(found.entries.size(), 3U);
    BOOST_TEST(found.entries.back().term.value() == 2U);
}

// A crash may truncate the last write at any byte; earlier records must remain.
BOOST_AUTO_TEST_CASE(torn_tail_is_truncated_at_every_byte)
{
    const temporary_folder scratch;
    write(*open_valid(scratch.path), entries(1, 2, 1));
    const std::size_t synced = read_all(log_path(scratch)).size();
    write(*open_valid(scratch.path), entries(3, 3, 1));
    const std::string whole = read_all(log_path(scratch));
    for (std::size_t size = synced; size < whole.size(); ++size)
    {
        write_all(log_path(scratch), whole.substr(0, size));
        BOOST_REQUIRE_EQUAL(open_valid(scratch.path)->take_recovered_state(group).entries.size(), 2U);
        BOOST_REQUIRE_LE(read_all(log_path(scratch)).size(), size);
    }
}

BOOST_AUTO_TEST_CASE(damage_before_synced_records_is_an_error)
{
    const temporary_folder scratch;
    write(*open_valid(scratch.path), entries(1, 9, 1));
    std::string bytes = read_all(log_path(scratch));
    bytes[bytes.size() / 2] ^= 0x40;
    write_all(log_path(scratch), bytes);
    const auto opened = data_folder::open(scratch.path, identity());
    BOOST_REQUIRE(!ok(opened));
    BOOST_TEST((error_of(opened).code == storage_code::damaged));
}

BOOST_AUTO_TEST_CASE(a_foreign_folder_and_one_without_identity_are_refused)
{
    const temporary_folder scratch;
    write(*open_valid(scratch.path), entries(1, 1, 1));
    const auto foreign = data_folder::open(scratch.path, {node_id{2}, incarnation_id{7}, {}});
    BOOST_TEST((error_of(foreign).code == storage_code::foreign_folder));
    std::filesystem::remove(scratch.path + "/identity");
    const auto nameless = data_folder::open(scratch.path, identity());
    BOOST_TEST((error_of(nameless).code == storage_code::damaged));
}

BOOST_AUTO_TEST_CASE(an_empty_folder_gets_the_fresh_identity_and_a_used_one_keeps_its_own)
{
    const temporary_folder scratch;
    open_valid(scratch.path);
    const auto again = data_folder::open(scratch.path, {node_id{1}, incarnation_id{99}, {}});
    BOOST_TEST(value_of(again)->identity().incarnation.value() == 7U);
}

BOOST_AUTO_TEST_CASE(snapshot_replaces_entries)
{
    const temporary_folder scratch;
    const auto folder = open_valid(scratch.path);
    write(*folder, entries(1, 10, 1));
    BOOST_REQUIRE(ok(folder->store_snapshot(group, snapshot{log_index{8}, term_id{1}, {}, "state"})));
    const replica_start found = open_valid(scratch.path)->take_recovered_state(group);
    BOOST_TEST(found.base.data == "state");
    BOOST_TEST(found.entries.size() == 2U);
}

BOOST_AUTO_TEST_CASE(rewritten_log_keeps_its_content)
{
    const temporary_folder scratch;
    const auto folder = open_valid(scratch.path);
    write(*folder, entries(1, 1000, 1));
    BOOST_REQUIRE(ok(folder->store_snapshot(group, snapshot{log_index{990}, term_id{1}, {}, "state"})));
    replica_start live;
    live.state = {term_id{1}, {}};
    live.base.index = log_index{990};
    live.entries = entries(991, 1000, 1).append;
    BOOST_REQUIRE(ok(folder->rewrite({{group, live}})));
    write(*folder, entries(1001, 1001, 1));
    const replica_start found = open_valid(scratch.path)->take_recovered_state(group);
    BOOST_TEST(found.base.index.value() == 990U);
    BOOST_TEST(found.entries.size() == 11U);
    BOOST_TEST(!std::filesystem::exists(log_path(scratch)));
}

// A file size limit of the process simulates a full disk.
BOOST_AUTO_TEST_CASE(a_full_disk_is_an_error)
{
    const temporary_folder scratch;
    const auto folder = open_valid(scratch.path);
    write(*folder, entries(1, 100, 1));
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit before{};
    ::getrlimit(RLIMIT_FSIZE, &before);
    const rlimit tight{read_all(log_path(scratch)).size() + 10, before.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &tight);
    folder->add(group, entries(101, 101, 1));
    const auto synced = folder->sync();
    ::setrlimit(RLIMIT_FSIZE, &before);
    BOOST_REQUIRE(!ok(synced));
    BOOST_TEST((error_of(synced).code == storage_code::cannot_write));
    BOOST_TEST(open_valid(scratch.path)->take_recovered_state(group).entries.size() == 100U);
}

// A leader of 1,100 workers had no file descriptor left for its snapshot and terminated, because every failed
// open was fatal, although its open log was still writable. A transient lack of resources must be reported as
// cannot_write, which is retried, and the log must remain usable.
BOOST_AUTO_TEST_CASE(descriptor_exhaustion_fails_snapshot_without_data_loss)
{
    const temporary_folder scratch;
    {
        const auto folder = open_valid(scratch.path);
        write(*folder, entries(1, 5, 1));
        rlimit before{};
        BOOST_REQUIRE(::getrlimit(RLIMIT_NOFILE, &before) == 0);
        const int next = ::dup(0); // all descriptors below this one are in use
        BOOST_REQUIRE(next >= 0);
        ::close(next);
        const rlimit none{static_cast<rlim_t>(next), before.rlim_max};
        BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &none) == 0);
        snapshot content;
        content.index = log_index{5};
        content.term = term_id{1};
        content.data = "state";
        const auto stored = folder->store_snapshot(group, content);
        folder->add(group, entries(6, 8, 1));
        const auto synced = folder->sync();
        BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &before) == 0);
        BOOST_REQUIRE(!ok(stored));
        BOOST_TEST((error_of(stored).code == storage_code::cannot_write));
        BOOST_TEST(ok(synced));
        BOOST_TEST(ok(folder->store_snapshot(group, content)));
    }
    const replica_start found = open_valid(scratch.path)->take_recovered_state(group);
    BOOST_TEST(found.base.index.value() == 5U);
    BOOST_TEST(found.entries.size() == 3U);
}
