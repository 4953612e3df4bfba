// Placement: batch tasks are packed, services are spread, gangs start as a whole on reserved hosts.

#include <walkthread/policy/scheduler.hpp>

#include <algorithm>
#include <limits>
#include <tuple>

namespace walkthread
{

namespace
{
constexpr std::size_t max_tasks_per_job_turn = 8;
constexpr std::size_t max_racks_per_choice = 8;
constexpr std::size_t min_hosts_per_reservation = 256;
constexpr wall_ms reservation_grace = 5'000;
constexpr wall_ms never = std::numeric_limits<wall_ms>::max();
template <typename Key>
std::uint32_t count_in(const std::map<Key, std::uint32_t>& counts, Key key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

constexpr std::int64_t overdue_divisor = 10; ///< overdue runs are assumed to need another tenth of their time
} // namespace

std::int64_t scheduler::predicted_ms(const job_spec& spec, const hall_state& state) const
{
    const run_estimate estimate = m_settings.learn_run_times ? state.estimate_of(spec.from) : run_estimate{};
    return estimate.predict_ms(spec.values.run_seconds);
}

std::optional<std::uint32_t> scheduler::next_pending(const hall_job& job, plan_state& p) const
{
    std::uint32_t& next = p.next_index[job.spec.id];
    while (next < job.tasks.size())
    {
        const std::uint32_t index = next++;
        if (job.tasks[index].state() == task_phase::pending)
        {
            return index;
        }
    }
    return std::nullopt;
}

void scheduler::commit(const hall_job& job, std::uint32_t index, host_slot slot, plan_state& p)
{
    const host_view& host = m_pool.at(slot);
    const run_id run{task_id{job.spec.id, index}, job.tasks[index].run + 1};
    p.out.placements.push_back(placement{run, host.worker, host.epoch});
    p.used[job.spec.organisation] += job.spec.values.size;
    p.team_used[job.spec.team] += job.spec.values.size;
}

// Excludes the hosts on which a job failed from the index while the job is placed.
std::vector<host_slot> scheduler::exclude_failed_hosts(const hall_job& job)
{
    std::vector<host_slot> excluded;
    for (const worker_id worker : job.failed_on)
    {
        const std::optional<host_slot> slot = m_pool.find(worker);
        if (slot && !m_pool.at(*slot).set_aside)
        {
            m_pool.set_aside(*slot, true);
            excluded.push_back(*slot);
        }
    }
    return excluded;
}

wait_reason scheduler::place_job(const hall_job& job, plan_state& p)
{
    const std::vector<host_slot> excluded = exclude_failed_hosts(job);
    const bool gang = job.spec.workload() == workload_kind::gang;
    const wait_reason reason = gang ? place_gang(job, p) : place_independent_tasks(job, p);
    for (const host_slot slot : excluded)
    {
        m_pool.set_aside(slot, false);
    }
    if (!excluded.empty())
    {
        forget_blocked(); // sizes that did not fit without these hosts may fit now
    }
    return reason;
}

// ---------------------------------------------------------------------------------------------------------
// Batch and services
// ---------------------------------------------------------------------------------------------------------

wait_reason scheduler::place_independent_tasks(const hall_job& job, plan_state& p)
{
    const bool spread = m_settings.spread_services && job.spec.workload() == workload_kind::service;
    spread_counts counts;
    for (const task_record& task : job.tasks)
    {
        const std::optional<host_slot> slot =
            spread && task.on_host() ? m_pool.find(task.worker) : std::nullopt;
        if (slot)
        {
            ++counts.racks[m_pool.at(*slot).rack];
            ++counts.hosts[*slot];
        }
    }
    for (std::size_t placed = 0; placed < max_tasks_per_job_turn && p.out.placements.size() < p.limit;
         ++placed)
    {
        if (!within_grant(job, p))
        {
            return wait_reason::quota;
        }
        const std::optional<std::uint32_t> index = next_pending(job, p);
        if (!index)
        {
            return wait_reason::none;
        }
        const std::optional<host_slot> slot = spread ? choose_spread(job, counts) : choose_batch(job, p);
        if (!slot)
        {
            --p.next_index[job.spec.id];
            return wait_reason::no_room;
        }
        m_pool.take(*slot, job.spec.values.size);
        commit(job, *index, *slot, p);
    }
    return wait_reason::none;
}

std::optional<host_slot> scheduler::choose_batch(const hall_job& job, const plan_state& p)
{
    const resources& need = job.spec.values.size;
    if (!m_blocked.covers(need))
    {
        const std::optional<host_slot> slot = m_settings.choose_host(m_pool, need);
        if (slot)
        {
            return slot;
        }
        m_blocked.add(need);
    }
    const bool service = job.spec.workload() == workload_kind::service;
    const wall_ms ends = service ? never : p.now + predicted_ms(job.spec, p.state);
    return choose_reserved(need, ends, job.spec.id);
}

// Examines a few racks. Chooses the rack with the fewest tasks of this job, there a host with the fewest of
// them, and among those the one with the least free processors, so that services share hosts and leave empty
// ones to larger tasks.
std::optional<host_slot> scheduler::choose_spread(const hall_job& job, spread_counts& used)
{
    const resources& need = job.spec.values.size;
    if (m_blocked.covers(need))
    {
        return std::nullopt;
    }
    std::optional<host_slot> best;
    std::tuple<std::uint32_t, std::uint32_t, std::int64_t> best_rank;
    const std::size_t tries = std::min(max_racks_per_choice, m_pool.racks());
    for (std::size_t i = 0; i < tries; ++i)
    {
        m_rack_cursor = (m_rack_cursor + 1) % m_pool.racks();
        const std::vector<host_slot>& hosts = m_pool.rack_at(m_rack_cursor);
        m_pool.count_examined(hosts.size());
        for (const host_slot slot : hosts)
        {
            const host_view& host = m_pool.at(slot);
            const std::tuple rank{count_in(used.racks, host.rack), count_in(used.hosts, slot), host.free.cpu};
            if (!host.set_aside && fits(need, host.free) && (!best || rank < best_rank))
            {
                best = slot;
                best_rank = rank;
            }
        }
    }
    best = best ? best : m_pool.best_fit(need);
    if (!best)
    {
        m_blocked.add(need);
        return std::nullopt;
    }
    ++used.racks[m_pool.at(*best).rack];
    ++used.hosts[*best];
    return best;
}

// ---------------------------------------------------------------------------------------------------------
// Gangs
// ---------------------------------------------------------------------------------------------------------

std::optional<host_slot> scheduler::choose_reserved(const resources& need, wall_ms ends, const job_id& job)
{
    if (!m_reservation)
    {
        return std::nullopt;
    }
    const bool own = m_reservation->job == job;
    const bool in_time = m_settings.backfill && ends <= m_reservation->start;
    const queue_item* item = m_queue.find(job);
    const bool goes_first = item != nullptr && item->urgency >= urgent;
    if ((!own && !in_time && !goes_first) || m_reserved_blocked.covers(need))
    {
        return std::nullopt;
    }
    m_pool.count_examined(m_reservation->hosts.size());
    for (const host_slot slot : m_reservation->hosts)
    {
        if (fits(need, m_pool.at(slot).free))
        {
            return slot;
        }
    }
    m_reserved_blocked.add(need);
    return std::nullopt;
}

wait_reason scheduler::place_gang(const hall_job& job, plan_state& p)
{
    if (job.on_hosts > 0)
    {
        return wait_reason::no_room; // tasks of an earlier start are still being stopped
    }
    if (p.next_index[job.spec.id] > 0)
    {
        return wait_reason::none; // already started by this plan
    }
    const resources& need = job.spec.values.size;
    std::vector<std::pair<std::uint32_t, host_slot>> chosen;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
    {
        if (job.tasks[i].state() != task_phase::pending)
        {
            continue;
        }
        std::optional<host_slot> slot = choose_reserved(need, never, job.spec.id);
        slot = slot || m_blocked.covers(need) ? slot : m_settings.choose_host(m_pool, need);
        if (!slot)
        {
            std::for_each(chosen.begin(), chosen.end(),
                          [&](const auto& c)
                          {
                              m_pool.release(c.second, need);
                          });
            reserve_for(job, p);
            const bool reserved_for_job = m_reservation && m_reservation->job == job.spec.id;
            return reserved_for_job ? wait_reason::gang_reserved : wait_reason::no_room;
        }
        m_pool.take(*slot, need);
        chosen.emplace_back(i, *slot);
    }
    for (const auto& [index, slot] : chosen)
    {
        commit(job, index, slot, p);
    }
    p.next_index[job.spec.id] = static_cast<std::uint32_t>(job.tasks.size());
    if (m_reservation && m_reservation->job == job.spec.id)
    {
        drop_reservation();
    }
    return wait_reason::none;
}

void scheduler::reserve_for(const hall_job& job, const plan_state& p)
{
    const bool stale = m_reservation && p.now > m_reservation->start + reservation_grace;
    if (stale)
    {
        drop_reservation();
    }
    if (!m_settings.reserve_for_gangs || m_reservation || m_pool.size() == 0)
    {
        return;
    }
    std::vector<std::pair<wall_ms, host_slot>> fit_slots;
    const std::size_t hosts_to_examine =
        std::min(m_pool.size(), std::max(min_hosts_per_reservation, std::size_t{4} * job.pending));
    const std::size_t first = m_random() % m_pool.size();
    m_pool.count_examined(hosts_to_examine);
    for (std::size_t i = 0; i < hosts_to_examine; ++i)
    {
        const host_slot slot = (first + i) % m_pool.size();
        for (const wall_ms at : expected_fit_times(slot, job.spec.values.size, p))
        {
            fit_slots.emplace_back(at, slot);
        }
    }
    if (fit_slots.size() < job.pending)
    {
        return;
    }
    std::sort(fit_slots.begin(), fit_slots.end());
    fit_slots.resize(job.pending);
    m_reservation = reservation{job.spec.id, {}, fit_slots.back().first};
    for (const auto& [at, slot] : fit_slots)
    {
        if (!m_pool.at(slot).set_aside)
        {
            m_pool.set_aside(slot, true);
            m_reservation->hosts.push_back(slot);
        }
    }
}

// Times at which a host is expected to have free resources for one, two, three ... tasks of a size.
std::vector<wall_ms> scheduler::expected_fit_times(host_slot slot, const resources& need,
                                                   const plan_state& p) const
{
    const host_view& host = m_pool.at(slot);
    const worker_record& worker = p.state.workers().at(host.worker);
    std::vector<wall_ms> times;
    const bool usable = worker.state() == worker_phase::live && worker.is_schedulable();
    if (!usable)
    {
        return times;
    }
    std::vector<std::pair<wall_ms, resources>> ends;
    for (const task_id& id : worker.tasks)
    {
        ends.emplace_back(predicted_end(id, p), p.state.jobs().at(id.job).spec.values.size);
    }
    std::sort(ends.begin(), ends.end(),
              [](const auto& a, const auto& b)
              {
                  return a.first < b.first;
              });
    resources room = host.free;
    wall_ms at = p.now;
    auto next = ends.begin();
    while (true)
    {
        while (!fits(need, room) && next != ends.end() && next->first != never)
        {
            at = next->first;
            room += next->second;
            ++next;
        }
        if (!fits(need, room))
        {
            return times;
        }
        room -= need;
        times.push_back(at);
    }
}

wall_ms scheduler::predicted_end(const task_id& id, const plan_state& p) const
{
    const hall_job& job = p.state.jobs().at(id.job);
    if (job.spec.workload() == workload_kind::service)
    {
        return never;
    }
    const std::int64_t length = predicted_ms(job.spec, p.state);
    const wall_ms expected = job.tasks[id.index].since + length;
    return std::max(expected, p.now + length / overdue_divisor);
}

void scheduler::drop_reservation()
{
    for (const host_slot slot : m_reservation->hosts)
    {
        m_pool.set_aside(slot, false);
    }
    m_reservation.reset();
    forget_blocked();
}

} // namespace walkthread
