#pragma once

// Replicas of one group in virtual time, each with a real data folder on a simulated disk of a given size
// that can refuse writes. Messages arrive with the next step, and each step runs the tasks of every disk.

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <random>
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
    // With a seed other than 0, disks take random times.
    replicas_on_disks(std::size_t count, std::uint64_t disk_bytes, replica_settings settings,
                      std::uint64_t seed = 0)
        : m_root(std::filesystem::temp_directory_path() / ("walkthread-disks-" + std::to_string(::getpid()))),
          m_settings(settings), m_limits(make_storage_limits(disk_bytes, 0)), m_slow_disks(seed != 0),
          m_random(seed)
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
        replica_start found = value_of(folder)->take_recovered_state(group);
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
        m.task.reset();
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

    // Proposes a value of about this size at the leader, if there is one. Values are numbered, and the number
    // of an acknowledged one is remembered.
    void put(const std::string& key, std::size_t bytes)
    {
        const std::uint64_t number = ++m_values;
        member* leader = find_leader();
        if (leader == nullptr)
        {
            return;
        }
        leader->group->propose(
            wall_ms{}, key + '=' + std::to_string(number) + std::string(bytes, 'v'),
            [this, key, number](const std::optional<std::string>& answer)
            {
                if (answer)
                {
                    ++m_acknowledged_count;
                    m_acknowledged[key] = std::max(m_acknowledged[key], number);
                }
            },
            m_now);
    }

    // Proposes a value until it is acknowledged, at most for `limit`. False if it is not.
    bool put_until_acknowledged(const std::string& key, std::size_t bytes, milliseconds limit)
    {
        const monotonic_time end = m_now + limit;
        while (m_now < end)
        {
            const std::size_t before = m_acknowledged_count;
            put(key, bytes);
            run(milliseconds(100));
            if (m_acknowledged_count > before)
            {
                return true;
            }
        }
        return false;
    }

    // The first key whose value at the leader is older than an acknowledged one; empty if there is none.
    std::string find_lost_key()
    {
        member* leader = find_leader();
        if (leader == nullptr)
        {
            return "no leader";
        }
        for (const auto& [key, number] : m_acknowledged)
        {
            if (std::strtoull(leader->machine->values[key].c_str(), nullptr, 10) < number)
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
    replica_storage& storage_of(const replica_id& id)
    {
        return *m_members.at(id).storage;
    }
    [[nodiscard]] monotonic_time now() const
    {
        return m_now;
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
        std::optional<disk_task> task; // in progress on a slow disk
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

    // As replica_host does.
    void work(member& m)
    {
        if (m.task)
        {
            run_task(m);
        }
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
            while (!m.task && !m.disk_failed && (m.task = m.storage->next_task(m_now)))
            {
                if (m_slow_disks && m_random() % 2 == 0)
                {
                    return;
                }
                run_task(m);
            }
        }
    }

    void run_task(member& m)
    {
        const disk_task task = *std::exchange(m.task, std::nullopt);
        const disk_report report = m.storage->finish(task.run(), m_now);
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
    bool m_slow_disks;
    std::mt19937_64 m_random;
    std::uint64_t m_values = 0;
    std::map<std::string, std::uint64_t> m_acknowledged; // the newest number by key
    std::size_t m_acknowledged_count = 0;
    std::size_t m_refusals = 0;
    std::string m_error;
    monotonic_time m_now{seconds(1000)};
};

} // namespace walkthread::test
