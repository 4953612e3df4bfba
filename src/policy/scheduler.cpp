// Queue order and planning. Placement is in scheduler_place.cpp, preemption in scheduler_preempt.cpp.

#include <walkthread/policy/scheduler.hpp>

#include <algorithm>
#include <tuple>

namespace walkthread
{

namespace
{
constexpr std::size_t max_jobs_per_plan = 4000; // bounds the duration of a plan
constexpr std::size_t max_blocked_sizes = 32;
} // namespace

scheduler_settings first_fit_fifo()
{
    scheduler_settings settings;
    settings.by_urgency = false;
    settings.fair = false;
    settings.skip_blocked = false;
    settings.spread_services = false;
    settings.reserve_for_gangs = false;
    settings.backfill = false;
    settings.learn_run_times = false;
    settings.preempt = false;
    settings.reclaim = false;
    settings.choose_host = [](host_pool& pool, const resources& need)
    {
        return pool.first_fit(need);
    };
    return settings;
}

scheduler::scheduler(scheduler_settings settings, std::uint64_t seed)
    : m_settings(std::move(settings)), m_shares(m_settings.weights), m_random(seed)
{
    if (!m_settings.choose_host)
    {
        m_settings.choose_host = [](host_pool& pool, const resources& need)
        {
            return pool.best_fit(need);
        };
    }
}

// ---------------------------------------------------------------------------------------------------------
// State updates
// ---------------------------------------------------------------------------------------------------------

void scheduler::reset(const hall_state& state)
{
    m_pool = {};
    m_queue = {};
    forget_blocked();
    m_reservation.reset();
    m_preempting.clear();
    m_largest = {};
    hall_changes everything;
    for (const auto& [id, worker] : state.workers())
    {
        everything.workers.push_back(id);
    }
    for (const auto& [id, job] : state.jobs())
    {
        everything.jobs.push_back(id);
    }
    take(everything, state);
}

void scheduler::take(const hall_changes& changes, const hall_state& state)
{
    for (const worker_id id : changes.workers)
    {
        const worker_record& worker = state.workers().at(id);
        if (m_pool.update(worker))
        {
            forget_blocked();
        }
        m_largest.cpu = std::max(m_largest.cpu, worker.size.cpu);
        m_largest.memory = std::max(m_largest.memory, worker.size.memory);
        m_largest.accelerators = std::max(m_largest.accelerators, worker.size.accelerators);
        m_largest.slots = std::max(m_largest.slots, worker.size.slots);
    }
    for (const job_id id : changes.jobs)
    {
        sync_job(id, state);
    }
}

void scheduler::sync_job(job_id id, const hall_state& state)
{
    const auto found = state.jobs().find(id);
    const bool waits = found != state.jobs().end() && !found->second.cancelled && found->second.pending > 0;
    if (!waits)
    {
        m_queue.remove(id);
        m_preempting.erase(id);
        if (m_reservation && m_reservation->job == id)
        {
            drop_reservation();
        }
        return;
    }
    const job_spec& spec = found->second.spec;
    const std::uint8_t urgency = m_settings.by_urgency ? spec.values.urgency : std::uint8_t{0};
    m_queue.add(id, queue_item{spec.organisation, urgency, urgency, spec.submitted, wait_reason::none});
}

void scheduler::set_grants(std::map<team_id, resources> grants)
{
    m_settings.grants = std::move(grants);
}

std::optional<wait_reason> scheduler::reason_of(job_id job)
{
    const queue_item* item = m_queue.find(job);
    return item == nullptr ? std::nullopt : std::optional(item->reason);
}

bool scheduler::could_ever_run(const resources& size) const
{
    return fits(size, m_largest);
}

// ---------------------------------------------------------------------------------------------------------
// Planning
// ---------------------------------------------------------------------------------------------------------

schedule scheduler::plan(const hall_state& state, wall_ms now, std::size_t limit)
{
    ++m_counters.plans;
    m_queue.age(now, m_settings.ageing_step);
    plan_state p{state, now, limit, {}, {}, {}, {}, {}, 0};
    std::vector<cursor> cursors = make_cursors();
    std::size_t examined = 0;
    while (p.out.placements.size() < limit && examined < max_jobs_per_plan)
    {
        cursor* c = choose(cursors, p);
        if (c == nullptr)
        {
            break;
        }
        const job_id id = c->next->job;
        const std::size_t before = p.out.placements.size();
        const wait_reason reason = try_job(state.jobs().at(id), p);
        m_queue.find(id)->reason = reason;
        ++examined;
        const bool placed_more = reason == wait_reason::none && p.out.placements.size() > before;
        if (!placed_more)
        {
            ++c->next;
            advance_to_waiting_job(*c);
        }
        const bool blocks = !m_settings.skip_blocked && reason != wait_reason::none;
        if (blocks)
        {
            break;
        }
    }
    m_counters.jobs_examined += examined;
    m_counters.placements += p.out.placements.size();
    m_counters.preemptions += p.out.stops.size();
    return std::move(p.out);
}

std::vector<scheduler::cursor> scheduler::make_cursors()
{
    std::vector<cursor> cursors;
    for (const organisation_id organisation : m_queue.organisations())
    {
        constexpr std::size_t top = job_queue::levels - 1;
        cursor c{organisation, top, m_queue.jobs_of(organisation, top).begin(), false};
        advance_to_waiting_job(c);
        cursors.push_back(c);
    }
    return cursors;
}

// Moves a cursor at the end of its level to the next lower level that has jobs.
void scheduler::advance_to_waiting_job(cursor& c)
{
    while (c.next == m_queue.jobs_of(c.organisation, c.level).end())
    {
        if (c.level == 0)
        {
            c.at_end = true;
            return;
        }
        --c.level;
        c.next = m_queue.jobs_of(c.organisation, c.level).begin();
    }
}

// Urgent jobs of any organisation go first, then the organisation furthest below its share. Levels below
// urgent and ageing only order the jobs within an organisation: across organisations they would override the
// shares.
scheduler::cursor* scheduler::choose(std::vector<cursor>& cursors, const plan_state& p)
{
    cursor* best = nullptr;
    std::tuple<bool, double, queue_key> best_rank;
    for (cursor& c : cursors)
    {
        if (c.at_end)
        {
            continue;
        }
        const bool not_urgent = c.level < urgent;
        const std::tuple rank{not_urgent, m_settings.fair ? share_of(c.organisation, p) : 0.0, *c.next};
        if (best == nullptr || rank < best_rank)
        {
            best = &c;
            best_rank = rank;
        }
    }
    return best;
}

wait_reason scheduler::try_job(const hall_job& job, plan_state& p)
{
    if (job.held())
    {
        return wait_reason::held;
    }
    if (!could_ever_run(job.spec.values.size))
    {
        return wait_reason::too_large;
    }
    if (!within_grant(job, p))
    {
        return wait_reason::quota;
    }
    const wait_reason reason = place_job(job, p);
    const bool may_help = reason == wait_reason::no_room || reason == wait_reason::gang_reserved;
    return may_help && preempt_for(job, p) ? wait_reason::preempting : reason;
}

// ---------------------------------------------------------------------------------------------------------
// Shares and quotas
// ---------------------------------------------------------------------------------------------------------

double scheduler::guarantee_of(organisation_id organisation) const
{
    double sum = m_shares.total_weight();
    for (const organisation_id other : m_queue.organisations())
    {
        sum += m_shares.contains(other) ? 0.0 : m_shares.weight_of(other);
    }
    return sum > 0.0 ? m_shares.weight_of(organisation) / sum : 1.0;
}

resources scheduler::used_by(organisation_id organisation, const plan_state& p) const
{
    const auto planned = p.used.find(organisation);
    return p.state.used_by(organisation) + (planned == p.used.end() ? resources{} : planned->second);
}

double scheduler::share_of(organisation_id organisation, const plan_state& p) const
{
    return m_shares.weighted_usage(organisation, used_by(organisation, p), p.state.capacity());
}

bool scheduler::within_grant(const hall_job& job, const plan_state& p) const
{
    const auto grant = m_settings.grants.find(job.spec.team);
    if (grant == m_settings.grants.end())
    {
        return true;
    }
    const auto planned = p.team_used.find(job.spec.team);
    const resources used =
        p.state.used_by(job.spec.team) + (planned == p.team_used.end() ? resources{} : planned->second);
    const bool gang = job.spec.workload() == workload_kind::gang;
    resources after = used + job.spec.values.size * (gang ? job.pending : 1);
    after.slots = 0;
    return fits(after, grant->second);
}

bool scheduler::blocked_sizes::covers(const resources& need) const
{
    return std::any_of(m_sizes.begin(), m_sizes.end(),
                       [&](const resources& size)
                       {
                           return fits(size, need);
                       });
}

void scheduler::blocked_sizes::add(const resources& need)
{
    if (m_sizes.size() < max_blocked_sizes && !covers(need))
    {
        m_sizes.push_back(need);
    }
}

void scheduler::forget_blocked()
{
    m_blocked.clear();
    m_reserved_blocked.clear();
}

} // namespace walkthread
