#pragma once

// Simulates the replicas of one group in virtual time. The network loses, duplicates, reorders and delays
// messages; replicas restart, freeze and lose their disks, and their clocks drift. Invariants are checked
// after each step.

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <walkthread/replication/replica.hpp>

namespace walkthread::test
{

struct fault_rates
{
    double loss = 0.0;
    double repeat = 0.0;
    double drift = 0.04;         // largest deviation of a clock's rate from true time
    std::uint64_t delay_ms = 60; // largest delay of a message
};

class replica_network
{
  public:
    replica_network(std::size_t count, std::uint64_t seed, fault_rates rates, replica_settings settings = {})
        : m_rates(rates), m_settings(settings), m_random(seed)
    {
        std::vector<replica_id> founders;
        for (std::uint16_t n = 1; n <= count; ++n)
        {
            founders.push_back({node_id{n}, incarnation_id{1}});
        }
        for (const replica_id& id : founders)
        {
            member& m = m_members[id];
            m.speed = 1.0 + m_rates.drift * (2.0 * random_unit() - 1.0);
            m.disk.base.members.voters = founders;
            start(id);
        }
    }

    // Advances true time in steps of 10 ms.
    void run(milliseconds span)
    {
        const monotonic_time end = m_now + span;
        while (m_now < end)
        {
            m_now += milliseconds(10);
            deliver();
            for (auto& [id, m] : m_members)
            {
                if (m.live && m_now >= m.frozen_until)
                {
                    m.core->tick(local(m));
                    flush(id);
                }
            }
            check_leases();
        }
    }

    bool propose(const std::string& data)
    {
        for (auto& [id, m] : m_members)
        {
            const bool runs = m.live && m_now >= m.frozen_until;
            if (runs && m.core->role() == replica_role::leader && ok(m.core->propose(data, local(m))))
            {
                flush(id);
                return true;
            }
        }
        return false;
    }

    void stop(const replica_id& id)
    {
        m_members[id].live = false;
        m_members[id].core.reset();
    }
    void start(const replica_id& id)
    {
        member& m = m_members[id];
        m.live = true;
        m.applied = m.disk.base.index;
        m.core = std::make_unique<replica>(group_id{1}, id, m_settings, m.disk, m_random(), local(m));
    }
    void freeze(const replica_id& id, milliseconds span)
    {
        m_members[id].frozen_until = m_now + span;
    }
    // Loses the disk; the node restarts with an empty one under another incarnation.
    replica_id lose_disk(const replica_id& id)
    {
        m_members.erase(id);
        const replica_id fresh{id.node, incarnation_id{m_random() | 2U}};
        member& m = m_members[fresh];
        m.speed = 1.0;
        start(fresh);
        return fresh;
    }
    void block_link(const replica_id& from, const replica_id& to)
    {
        m_blocked_links.insert({from.node, to.node});
    }
    void heal()
    {
        m_blocked_links.clear();
    }
    void set_delay(std::uint64_t longest_ms)
    {
        m_rates.delay_ms = longest_ms;
    }
    // Number of terms that had a leader.
    std::size_t terms_led() const
    {
        return m_leaders.size();
    }
    // Adds `fresh` at the leader, if there is one, as the replacement of `old`.
    bool replace(const replica_id& fresh, const replica_id& old)
    {
        replica* leader = find_leader();
        if (leader == nullptr || leader->members().is_member(fresh))
        {
            return leader != nullptr;
        }
        return ok(leader->add_learner(learner{fresh, true, old}, local(m_members[leader->self()])));
    }

    replica* find_leader()
    {
        replica* leader = nullptr;
        for (auto& [id, m] : m_members)
        {
            const bool leads = m.live && m_now >= m.frozen_until && m.core->role() == replica_role::leader;
            if (leads && (leader == nullptr || m.core->term() > leader->term()))
            {
                leader = m.core.get();
            }
        }
        return leader;
    }
    std::vector<replica_id> ids() const
    {
        std::vector<replica_id> out;
        for (const auto& [id, m] : m_members)
        {
            out.push_back(id);
        }
        return out;
    }
    replica& core(const replica_id& id)
    {
        return *m_members.at(id).core;
    }
    log_index applied_at(const replica_id& id) const
    {
        return m_members.at(id).applied;
    }
    // The time on a member's own clock.
    monotonic_time local_time(const replica_id& id) const
    {
        return local(m_members.at(id));
    }
    bool live(const replica_id& id) const
    {
        return m_members.at(id).live;
    }
    const std::map<log_index, std::string>& committed() const
    {
        return m_committed;
    }
    const std::string& violation() const
    {
        return m_violation;
    }
    std::uint64_t sent() const
    {
        return m_sent;
    }
    monotonic_time now() const
    {
        return m_now;
    }
    double random_unit()
    {
        constexpr double scale = 1.0 / static_cast<double>(1ULL << 53U);
        return static_cast<double>(m_random() >> 11U) * scale;
    }
    std::uint64_t random_below(std::uint64_t below)
    {
        return m_random() % below;
    }

  private:
    struct member
    {
        std::unique_ptr<replica> core;
        replica_start disk;
        double speed = 1.0;
        bool live = false;
        monotonic_time frozen_until{};
        log_index applied{};
    };

    monotonic_time local(const member& m) const
    {
        const auto elapsed = static_cast<double>(m_now.time_since_epoch().count());
        return monotonic_time{duration{static_cast<std::int64_t>(elapsed * m.speed)}};
    }

    // Handles a replica's output as its owner would: make durable, send, apply.
    void flush(const replica_id& id)
    {
        member& m = m_members[id];
        for (int round = 0; round < 4; ++round)
        {
            const replica_output out = m.core->take_output(local(m));
            sync(m, out);
            m.core->synced(local(m));
            for (const replica_envelope& envelope : out.messages)
            {
                post(envelope);
            }
            for (const log_entry& entry : out.apply)
            {
                apply(m, entry);
            }
        }
        if (m.core->snapshot_due())
        {
            const snapshot made =
                m.core->make_snapshot(m.applied, "state at " + std::to_string(m.applied.value()));
            m.core->compact(made);
            m.disk.base = made;
            std::erase_if(m.disk.entries,
                          [&made](const log_entry& e)
                          {
                              return e.index <= made.index;
                          });
        }
        check_terms(id, *m.core);
    }

    static void sync(member& m, const replica_output& out)
    {
        if (out.install)
        {
            m.disk.base = *out.install;
            m.disk.entries.clear();
            m.applied = out.install->index;
        }
        if (out.state)
        {
            m.disk.state = *out.state;
        }
        for (const log_entry& entry : out.append)
        {
            while (!m.disk.entries.empty() && m.disk.entries.back().index >= entry.index)
            {
                m.disk.entries.pop_back();
            }
            m.disk.entries.push_back(entry);
        }
    }

    void apply(member& m, const log_entry& entry)
    {
        if (entry.index.value() != m.applied.value() + 1)
        {
            m_violation = "entry applied out of order";
        }
        m.applied = entry.index;
        const std::string content = std::to_string(entry.term.value()) + ':' + entry.data;
        const auto [found, fresh] = m_committed.emplace(entry.index, content);
        if (!fresh && found->second != content)
        {
            m_violation = "different entries applied at index " + std::to_string(entry.index.value());
        }
    }

    void post(const replica_envelope& envelope)
    {
        ++m_sent;
        if (random_unit() < m_rates.loss || m_blocked_links.contains({envelope.from.node, envelope.to.node}))
        {
            return;
        }
        const int copies = random_unit() < m_rates.repeat ? 2 : 1;
        for (int i = 0; i < copies; ++i)
        {
            const milliseconds delay{1 + static_cast<std::int64_t>(random_below(m_rates.delay_ms))};
            m_queue.emplace(m_now + delay, envelope);
        }
    }

    void deliver()
    {
        while (!m_queue.empty() && m_queue.begin()->first <= m_now)
        {
            const replica_envelope envelope = m_queue.begin()->second;
            m_queue.erase(m_queue.begin());
            const auto to = m_members.find(envelope.to);
            if (to == m_members.end() || !to->second.live)
            {
                continue;
            }
            if (m_now < to->second.frozen_until)
            {
                m_queue.emplace(to->second.frozen_until, envelope); // stays in the socket buffer
                continue;
            }
            to->second.core->receive(envelope, local(to->second));
            flush(envelope.to);
        }
    }

    void check_terms(const replica_id& id, const replica& core)
    {
        if (core.role() != replica_role::leader)
        {
            return;
        }
        const auto [found, fresh] = m_leaders.emplace(core.term(), id);
        if (!fresh && found->second != id)
        {
            m_violation = "two leaders in term " + std::to_string(core.term().value());
        }
    }

    void check_leases()
    {
        int holders = 0;
        for (const auto& [id, m] : m_members)
        {
            holders += m.live && m.core->holds_lease(local(m)) ? 1 : 0;
        }
        if (holders > 1)
        {
            m_violation = "two replicas hold the lease";
        }
    }

    fault_rates m_rates;
    replica_settings m_settings;
    std::mt19937_64 m_random;
    monotonic_time m_now{seconds(1000)};
    std::map<replica_id, member> m_members;
    std::multimap<monotonic_time, replica_envelope> m_queue;
    std::set<std::pair<node_id, node_id>> m_blocked_links;
    std::map<term_id, replica_id> m_leaders;
    std::map<log_index, std::string> m_committed;
    std::string m_violation;
    std::uint64_t m_sent = 0;
};

} // namespace walkthread::test
