#include <walkthread/storage/data_folder.hpp>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <unistd.h>

#include <walkthread/storage/files.hpp>
#include <walkthread/storage/records.hpp>
#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
// The log is rewritten once it has grown to this multiple of its size after the last rewrite, but not below
// the minimum size, nor above the limit unless that would rewrite it after little growth.
constexpr std::uint64_t min_rewrite_bytes = 8U << 20U;
constexpr std::uint64_t min_growth_share = 4; // of the limit
constexpr std::uint64_t rewrite_factor = 4;
const std::string identity_name = "identity";
const std::string log_prefix = "wal-";
const std::string temporary_suffix = ".new";

std::string log_name(std::uint64_t number)
{
    return log_prefix + std::to_string(number);
}

std::string snapshot_name(group_id group)
{
    return "snapshot-" + std::to_string(group.value());
}

std::vector<std::uint64_t> log_numbers(const std::string& path)
{
    std::vector<std::uint64_t> numbers;
    for (const auto& item : std::filesystem::directory_iterator(path))
    {
        const std::string name = item.path().filename().string();
        if (name.starts_with(log_prefix) && !name.ends_with(temporary_suffix))
        {
            numbers.push_back(std::stoull(name.substr(log_prefix.size())));
        }
    }
    std::sort(numbers.begin(), numbers.end());
    return numbers;
}

/// Removes what a process left behind that ended while it replaced a file.
void remove_temporary_files(const std::string& path)
{
    std::error_code ignored; // such a file takes space, but nothing reads it
    for (const auto& item : std::filesystem::directory_iterator(path))
    {
        if (item.path().filename().string().ends_with(temporary_suffix))
        {
            std::filesystem::remove(item.path(), ignored);
        }
    }
}

/// Reads the identity of a folder, or stores the new one if the folder is empty.
result<folder_identity, storage_error>
find_identity(const std::string& path, const folder_identity& new_identity, const file_operations& files)
{
    if (!std::filesystem::exists(path + '/' + identity_name))
    {
        if (!log_numbers(path).empty())
        {
            return storage_error{storage_code::damaged, "The folder has a log but no identity file."};
        }
        const auto stored = detail::replace_file(files, path, identity_name, encode(new_identity));
        if (!ok(stored))
        {
            return error_of(stored);
        }
        return new_identity;
    }
    const auto bytes = detail::read_file(path + '/' + identity_name);
    if (!ok(bytes))
    {
        return error_of(bytes);
    }
    auto identity = decode<folder_identity>(value_of(bytes));
    if (!ok(identity))
    {
        return storage_error{storage_code::damaged, "The identity file cannot be decoded."};
    }
    if (value_of(identity).node != new_identity.node)
    {
        return storage_error{storage_code::foreign_folder,
                             "The folder belongs to node " + std::to_string(value_of(identity).node.value()) +
                                 '.'};
    }
    return value_of(identity);
}
} // namespace

data_folder::data_folder(std::string path, folder_identity identity, file_operations files)
    : m_path(std::move(path)), m_identity(std::move(identity)), m_files(std::move(files)),
      m_log_limit(storage_limits{}.log_bytes)
{
    schedule_rewrite();
}

data_folder::~data_folder()
{
    if (m_log_fd >= 0)
    {
        ::close(m_log_fd);
    }
}

result<std::unique_ptr<data_folder>, storage_error> data_folder::open(const std::string& path,
                                                                      const folder_identity& new_identity)
{
    return open(path, new_identity, detail::system_file_operations());
}

result<std::unique_ptr<data_folder>, storage_error>
data_folder::open(const std::string& path, const folder_identity& new_identity, const file_operations& files)
{
    std::error_code failure;
    std::filesystem::create_directories(path, failure);
    if (failure)
    {
        return storage_error{storage_code::cannot_open, path + ": " + failure.message()};
    }
    remove_temporary_files(path);
    auto identity = find_identity(path, new_identity, files);
    if (!ok(identity))
    {
        return error_of(identity);
    }
    std::unique_ptr<data_folder> folder(new data_folder(path, value_of(identity), files));
    auto loaded = folder->load();
    if (!ok(loaded))
    {
        return error_of(loaded);
    }
    return folder;
}

// ---------------------------------------------------------------------------------------------------------
// Reading
// ---------------------------------------------------------------------------------------------------------

result<done, storage_error> data_folder::load()
{
    const std::vector<std::uint64_t> numbers = log_numbers(m_path);
    for (const std::uint64_t number : numbers)
    {
        const auto loaded = load_file(number, number == numbers.back());
        if (!ok(loaded))
        {
            return loaded;
        }
    }
    // A log file is complete once it exists, so that older ones were only left by a process that ended before
    // it removed them.
    std::error_code ignored;
    for (std::size_t i = 0; i + 1 < numbers.size(); ++i)
    {
        std::filesystem::remove(m_path + '/' + log_name(numbers[i]), ignored);
    }
    return open_log(numbers.empty() ? 1 : numbers.back());
}

result<done, storage_error> data_folder::load_file(std::uint64_t number, bool last)
{
    const std::string path = m_path + '/' + log_name(number);
    const auto bytes = detail::read_file(path);
    if (!ok(bytes))
    {
        return error_of(bytes);
    }
    const auto take = [this](log_record record)
    {
        apply_record(std::move(record));
    };
    const auto valid_bytes = detail::read_records(value_of(bytes), last, take);
    if (!ok(valid_bytes))
    {
        return storage_error{error_of(valid_bytes).code,
                             log_name(number) + ": " + error_of(valid_bytes).detail};
    }
    if (value_of(valid_bytes) < value_of(bytes).size() &&
        ::truncate(path.c_str(), static_cast<off_t>(value_of(valid_bytes))) != 0)
    {
        return detail::last_error(storage_code::cannot_write, path);
    }
    m_log_bytes = value_of(valid_bytes);
    for (auto& [group, start] : m_recovered)
    {
        if (start.base.index.value() == 0 || !start.base.data.empty())
        {
            continue;
        }
        const auto stored = detail::read_file(m_path + '/' + snapshot_name(group));
        auto content =
            ok(stored) ? decode<snapshot>(value_of(stored)) : result<snapshot, wire_error>{wire_error{}};
        if (!ok(content) || value_of(content).index < start.base.index)
        {
            return storage_error{storage_code::damaged,
                                 snapshot_name(group) + " is missing, unreadable or outdated."};
        }
        start.base = value_of(content);
        m_stored_snapshots[group] = start.base.index;
        const log_index covered = start.base.index;
        std::erase_if(start.entries,
                      [covered](const log_entry& e)
                      {
                          return e.index <= covered;
                      });
    }
    return done{};
}

void data_folder::apply_record(log_record record)
{
    if (auto* entry = std::get_if<entry_record>(&record))
    {
        replica_start& start = m_recovered[entry->group];
        while (!start.entries.empty() && start.entries.back().index >= entry->entry.index)
        {
            start.entries.pop_back();
        }
        if (entry->entry.index > start.base.index)
        {
            start.entries.push_back(std::move(entry->entry));
        }
    }
    else if (auto* state = std::get_if<state_record>(&record))
    {
        m_recovered[state->group].state = state->state;
    }
    else if (auto* mark = std::get_if<snapshot_record>(&record))
    {
        replica_start& start = m_recovered[mark->group];
        start.base = snapshot{};
        start.base.index = mark->index;
        std::erase_if(start.entries,
                      [mark](const log_entry& e)
                      {
                          return e.index <= mark->index;
                      });
    }
}

replica_start data_folder::take_recovered_state(group_id group)
{
    replica_start start;
    if (auto found = m_recovered.extract(group))
    {
        start = std::move(found.mapped());
    }
    const auto founding = m_identity.founding.find(group);
    if (start.base.index.value() == 0 && founding != m_identity.founding.end())
    {
        start.base.members = founding->second;
    }
    return start;
}

// ---------------------------------------------------------------------------------------------------------
// Writing
// ---------------------------------------------------------------------------------------------------------

result<done, storage_error> data_folder::open_log(std::uint64_t number)
{
    constexpr int mode = 0600;
    const std::string path = m_path + '/' + log_name(number);
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
    if (file < 0)
    {
        return detail::last_error(storage_code::cannot_open, path);
    }
    if (m_log_fd >= 0)
    {
        ::close(m_log_fd);
    }
    m_log_fd = file;
    m_log_number = number;
    return detail::sync_folder(m_path);
}

void data_folder::add(group_id group, const replica_output& output)
{
    if (output.install)
    {
        m_snapshots.emplace_back(group, *output.install);
        detail::append_record(m_batch, snapshot_record{group, output.install->index});
    }
    if (output.state)
    {
        detail::append_record(m_batch, state_record{group, *output.state});
    }
    for (const log_entry& entry : output.append)
    {
        detail::append_record(m_batch, entry_record{group, entry});
    }
}

result<done, storage_error> data_folder::sync()
{
    for (const auto& [group, content] : m_snapshots)
    {
        const auto stored = write_snapshot(group, content);
        if (!ok(stored))
        {
            return stored;
        }
    }
    m_snapshots.clear();
    if (m_batch.empty())
    {
        return done{};
    }
    const auto flushed = flush(m_batch);
    if (ok(flushed))
    {
        m_batch.clear();
    }
    return flushed;
}

result<done, storage_error> data_folder::flush(std::string_view bytes)
{
    const auto written = detail::write_all(m_files, m_log_fd, bytes);
    if (!ok(written))
    {
        // Remove a partial write, so that the batch can be written again once the disk accepts writes.
        const bool cut = ::ftruncate(m_log_fd, static_cast<off_t>(m_log_bytes)) == 0;
        return cut ? written : detail::last_error(storage_code::cannot_sync, log_name(m_log_number));
    }
    if (m_files.sync(m_log_fd) != 0)
    {
        return detail::last_error(storage_code::cannot_sync, log_name(m_log_number));
    }
    m_log_bytes += bytes.size();
    m_bytes_written += bytes.size();
    ++m_syncs;
    return done{};
}

result<done, storage_error> data_folder::write_snapshot(group_id group, const snapshot& content)
{
    const auto stored = detail::replace_file(m_files, m_path, snapshot_name(group), encode(content));
    if (ok(stored))
    {
        m_stored_snapshots[group] = content.index;
    }
    return stored;
}

log_index data_folder::stored_snapshot(group_id group) const
{
    const auto found = m_stored_snapshots.find(group);
    return found == m_stored_snapshots.end() ? log_index{} : found->second;
}

result<done, storage_error> data_folder::store_snapshot(group_id group, const snapshot& content)
{
    const auto stored = write_snapshot(group, content);
    if (!ok(stored))
    {
        return stored;
    }
    detail::append_record(m_batch, snapshot_record{group, content.index});
    return sync();
}

void data_folder::limit_log(std::uint64_t bytes)
{
    m_log_limit = bytes;
    schedule_rewrite();
}

void data_folder::schedule_rewrite()
{
    const std::uint64_t grown = std::max(min_rewrite_bytes, rewrite_factor * m_rewritten_bytes);
    m_rewrite_at = std::max(std::min(grown, m_log_limit), m_rewritten_bytes + m_log_limit / min_growth_share);
}

result<done, storage_error> data_folder::rewrite(const std::map<group_id, replica_start>& live)
{
    std::string bytes;
    for (const auto& [group, start] : live)
    {
        detail::append_record(bytes, snapshot_record{group, start.base.index});
        detail::append_record(bytes, state_record{group, start.state});
        for (const log_entry& entry : start.entries)
        {
            detail::append_record(bytes, entry_record{group, entry});
        }
    }
    const std::uint64_t old = m_log_number;
    const auto stored = detail::replace_file(m_files, m_path, log_name(old + 1), bytes);
    if (!ok(stored) && !std::filesystem::exists(m_path + '/' + log_name(old + 1)))
    {
        return stored;
    }
    // Once the new file exists, nothing may be appended to the old one: on recovery both are read in order,
    // and the new file would override the appended records.
    const auto opened = ok(stored) ? open_log(old + 1) : stored;
    if (!ok(opened))
    {
        return storage_error{storage_code::cannot_sync, error_of(opened).detail};
    }
    m_log_bytes = bytes.size();
    m_rewritten_bytes = m_log_bytes;
    schedule_rewrite();
    std::error_code ignored; // the file would be removed at the next start
    std::filesystem::remove(m_path + '/' + log_name(old), ignored);
    return detail::sync_folder(m_path);
}

} // namespace walkthread
