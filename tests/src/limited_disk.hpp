#pragma once

// Replicas of one group in virtual time, each with a real data folder on a simulated disk of a given size
// that can refuse writes. Messages arrive with the next step, and each step runs the tasks of every disk.

#include <cerrno>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unistd.h>
#include <vector>

#include <walkthread/fabric/replica_storage.hpp>
#include <walkthread/wire/codec.hpp>

namespace walkthread::test
{

// A folder whose files may not take more than `capacity` bytes together.
struct limited_disk
{
    std::string path;
    std::uint64_t capacity = 0;
    std::uint64_t taken_by_others = 0;
    std::string refused_file; // writes to files whose names begin so are refused
    std::uint64_t peak = 0;   // most bytes that the files took together

    [[nodiscard]] std::uint64_t used() const
    {
        std::uint64_t bytes = 0;
        for (const auto& item : std::filesystem::directory_iterator(path))
        {
            bytes += item.file_size();
        }
        return bytes;
    }
    // As a file system does, takes as many bytes as there is room for and refuses once there is none.
    std::ptrdiff_t write(int file, const char* bytes, std::size_t count)
    {
        const std::string name =
            std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(file)).filename();
        const std::uint64_t before = used() + taken_by_others;
        const std::uint64_t room = capacity > before ? capacity - before : 0;
        if (room == 0 || (!refused_file.empty() && name.starts_with(refused_file)))
        {
            errno = ENOSPC;
            return -1;
        }
        const std::ptrdiff_t written = ::write(file, bytes, std::min<std::uint64_t>(count, room));
        peak = std::max(peak, used());
        return written;
    }
    file_operations operations()
    {
        return {[this](int file, const char* bytes, std::size_t count)
                {
                    return write(file, bytes, count);
                },
                [](int)
                {
                    return 0;
                }};
    }
};

// The state machine: the last value of each key. A command is "KEY=VALUE".
struct key_values
{
    std::map<std::string, std::string> values;

    state_machine_hooks hooks()
    {
        return {[this](wall_ms, const std::string& command)
                {
                    const std::size_t split = command.find('=');
                    values[command.substr(0, split)] = command.substr(split + 1);
                    return command.substr(0, split);
                },
                [this]
                {
                    return encode(values);
                },
                [this](const std::string& bytes)
                {
                    auto decoded = decode<std::map<std::string, std::string>>(bytes);
                    values = ok(decoded) ? value_of(decoded) : std::map<std::string, std::string>{};
                    return ok(decoded);
                }};
    }
};

class replicas_on_disks
{
  public:
    replicas_on_disks(std::size_t count, std::uint64_t disk_bytes, replica_settings settings)
        : m_root(std::filesystem::temp_directory_path() / ("walkthread-disks-" + std::to_string(::getpid()))),
          m_settings(settings), m_limits(make_storage_limits(disk_bytes, 0))
    {
        m_settings.snapshot_bytes = m_limits.snapshot_bytes;
        std::filesystem::remove_all(m_root);
        for (std::uint16_t n = 1; n <= count; ++n)
        {
            m_founders.voters.push_back({node_id{n}, incarnation_id{1}});
        }
        for (const replica_id& id : m_founders.voters)
        {
            member& m = m_members[id];
            m.disk.path = m_root / std::to_string(id.node.value());
            m.disk.capacity = disk_bytes;
            start(id);
        }
    }
    ~replicas_on_disks()
    {
        m_members.clear();
        std::filesystem::remove_all(m_root);
    }
    replicas_on_disks(const replicas_on_disks&) = delete;
    replicas_on_disks& operator=(const replicas_on_disks&) = delete;

    // Starts a process with what its disk holds. False if it cannot be recovered.
    bool start(const replica_id& id)
    {
        member& m = m_members[id];
        folder_identity identity{id.node, id.incarnation, {}};
        identity.founding[group] = m_founders;
        auto folder = data_folder::open(m.disk.path, identity, m.disk.operations());
        if (!ok(folder))
        {
            m_error = error_of(folder).detail;
            return false;
        }
        value_of(folder)->limit_log(m_limits.log_bytes);
        replica_start found = value_of(folder)->recovered_state(group);
        m.machine = std::make_unique<key_values>();
        if (!found.base.data.empty())
        {
            m.machine->hooks().load(found.base.data);
        }
        replica core(group, id, m_settings, std::move(found), id.node.value(), m_now);
        m.group = std::make_unique<replicated_group>(group, std::move(core), m.machine->hooks());
        m.storage = std::make_unique<replica_storage>(std::move(value_of(folder)), *m.group);
        m.disk_failed = false;
        return true;
    }
    void stop(const replica_id& id)
    {
        member& m = m_members[id];
        m.storage.reset();
        m.group.reset();
        m.held.clear();
    }
    bool restart(const replica_id& id)
    {
        stop(id);
        return start(id);
    }

    void run(milliseconds span)
    {
        const monotonic_time end = m_now + span;
        while (m_now < end)
        {
            m_now += milliseconds(10);
            const std::vector<replica_envelope> arrived = std::exchange(m_sent, {});
            for (const replica_envelope& envelope : arrived)
            {
                member& to = m_members.at(envelope.to);
                if (to.group && !m_cut_off.contains(envelope.to) && !m_cut_off.contains(envelope.from))
                {
                    to.group->core().receive(envelope, m_now);
                }
            }
            for (auto& [id, m] : m_members)
            {
                if (m.group && !m.disk_failed)
                {
                    m.group->core().tick(m_now);
                    work(m);
                }
            }
        }
    }

    // Proposes a command at the leader, if there is one; an acknowledged value is remembered.
    void put(const std::string& key, const std::string& value)
    {
        member* leader = find_leader();
        if (leader == nullptr)
        {
            return;
        }
        leader->group->propose(
            wall_ms{}, key + '=' + value,
            [this, key, value](const std::optional<std::string>& answer)
            {
                if (answer)
                {
                    ++m_acknowledged_count;
                    m_acknowledged[key] = value;
                }
            },
            m_now);
    }

    // Proposes a value until it is acknowledged, at most for `limit`. False if it is not.
    bool put_until_acknowledged(const std::string& key, const std::string& value, milliseconds limit)
    {
        const monotonic_time end = m_now + limit;
        while (m_now < end)
        {
            const std::size_t before = m_acknowledged_count;
            put(key, value);
            run(milliseconds(100));
            if (m_acknowledged_count > before)
            {
                return true;
            }
        }
        return false;
    }

    // The first acknowledged value that the leader does not have; empty if it has all.
    std::string find_lost_key()
    {
        member* leader = find_leader();
        if (leader == nullptr)
        {
            return "no leader";
        }
        for (const auto& [key, value] : m_acknowledged)
        {
            if (leader->machine->values[key] != value)
            {
                return key;
            }
        }
        return {};
    }

    std::optional<replica_id> leader_id()
    {
        member* leader = find_leader();
        return leader == nullptr ? std::nullopt : std::optional(leader->group->core().self());
    }
    limited_disk& disk(const replica_id& id)
    {
        return m_members.at(id).disk;
    }
    replicated_group& group_of(const replica_id& id)
    {
        return *m_members.at(id).group;
    }
    void cut_off(const replica_id& id)
    {
        m_cut_off.insert(id);
    }
    void heal()
    {
        m_cut_off.clear();
    }
    const std::vector<replica_id>& ids() const
    {
        return m_founders.voters;
    }
    std::size_t acknowledged() const
    {
        return m_acknowledged_count;
    }
    std::size_t refusals() const
    {
        return m_refusals;
    }
    const std::string& error() const
    {
        return m_error;
    }

  private:
    static constexpr group_id group{0};

    struct member
    {
        limited_disk disk;
        std::unique_ptr<key_values> machine;
        std::unique_ptr<replicated_group> group;
        std::unique_ptr<replica_storage> storage;
        std::vector<replica_envelope> held;
        bool disk_failed = false;
    };

    member* find_leader()
    {
        for (auto& [id, m] : m_members)
        {
            if (m.group && !m.disk_failed && m.group->leads(m_now))
            {
                return &m;
            }
        }
        return nullptr;
    }

    // As replica_host does, with a disk that needs no time.
    void work(member& m)
    {
        for (int round = 0; round < 4; ++round)
        {
            const bool busy = m.storage->busy();
            replica_output output =
                busy ? m.group->core().take_unsynced(m_now) : m.group->core().take_output(m_now);
            const bool sync = output.needs_sync();
            for (const replica_envelope& envelope : output.messages)
            {
                const bool append = std::holds_alternative<append_request>(envelope.message);
                (sync && (output.state || !append) ? m.held : m_sent).push_back(envelope);
            }
            m.group->apply(output);
            if (sync)
            {
                m.storage->add(output);
            }
            else if (!busy)
            {
                m.group->core().synced(m_now);
            }
            while (auto task = m.storage->next_task(m_now))
            {
                finish(m, m.storage->finish(task->run(), m_now));
                if (m.disk_failed)
                {
                    return;
                }
            }
        }
    }

    void finish(member& m, const disk_report& report)
    {
        m.disk_failed = report.failed;
        m_refusals += report.refuses ? 1 : 0;
        if (report.refuses || report.accepts)
        {
            m.group->core().set_leadership_declined(report.refuses);
        }
        if (report.refuses)
        {
            m.group->core().transfer_leadership(m_now);
        }
        if (report.log_durable)
        {
            m_sent.insert(m_sent.end(), m.held.begin(), m.held.end());
            m.held.clear();
            m.group->core().synced(m_now);
        }
    }

    std::filesystem::path m_root;
    replica_settings m_settings;
    storage_limits m_limits;
    membership m_founders;
    std::map<replica_id, member> m_members;
    std::vector<replica_envelope> m_sent;
    std::set<replica_id> m_cut_off;
    std::map<std::string, std::string> m_acknowledged;
    std::size_t m_acknowledged_count = 0;
    std::size_t m_refusals = 0;
    std::string m_error;
    monotonic_time m_now{seconds(1000)};
};

} // namespace walkthread::test
