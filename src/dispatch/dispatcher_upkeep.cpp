// dispatcher: drains hosts for maintenance, in waves.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>
#include <array>

namespace walkthread
{

namespace
{
constexpr duration order_retry_delay = milliseconds(400); // per host, as calls are rate-limited
constexpr double hurry_part = 0.6; // share of a wave's time after which runs are stopped, not waited for
} // namespace

void dispatcher::advance_waves(monotonic_time now, wall_ms wall)
{
    m_upkeep_hosts.clear();
    for (const auto& [number, wave] : m_state.waves())
    {
        if (!wave.complete())
        {
            advance_wave(wave, now, wall);
        }
    }
}

// Whether a host has had no worker for longer than its maintenance can take. Such a host no longer delays the
// others of its wave.
bool dispatcher::lost_in_upkeep(const std::string& host, monotonic_time now)
{
    if (m_state.find_host(host) != nullptr)
    {
        m_upkeep_absent.erase(host);
        return false;
    }
    const bool lost =
        now - m_upkeep_absent.emplace(host, now).first->second > m_settings.maintenance_lost_timeout;
    if (lost)
    {
        m_upkeep_passed.insert(host);
    }
    return lost;
}

// Whether the host has had long-running tasks that may not be stopped for a while, because their step already
// misses too many tasks. That may never change.
bool dispatcher::blocks_its_turn(const std::string& host, monotonic_time now)
{
    const worker_incarnation* incarnation = m_state.find_host(host);
    const auto may_not_end = [this](const auto& item)
    {
        const step_spec* step = m_state.find(item.first.task.step);
        return step != nullptr && step->long_running && !may_end_lasting(item.first);
    };
    if (incarnation == nullptr ||
        std::none_of(incarnation->occupied.begin(), incarnation->occupied.end(), may_not_end))
    {
        m_upkeep_blocked.erase(host);
        return false;
    }
    return now - m_upkeep_blocked.emplace(host, now).first->second > m_settings.maintenance_blocked_timeout;
}

// The hosts to drain now, at most `wave.at_once` down at a time. Hosts with an order in progress go first,
// then those whose order no longer delays the others, then waiting hosts, and last the waiting hosts that may
// not be drained.
std::set<std::string> dispatcher::choose_hosts(const maintenance_wave& wave, monotonic_time now)
{
    std::array<std::vector<std::string>, 3> turns;
    std::size_t down = 0;
    for (const auto& [host, phase] : wave.hosts)
    {
        const auto stage = static_cast<maintenance_phase>(phase);
        const bool ordered = stage == maintenance_phase::ordered;
        const bool in_flight = m_upkeep_in_flight.contains(host);
        const bool begun = ordered || in_flight || stage == maintenance_phase::under_way;
        const bool there = begun ? !lost_in_upkeep(host, now) : m_state.find_host(host) != nullptr;
        down += there && stage == maintenance_phase::under_way ? 1 : 0;
        if (there && (ordered || stage == maintenance_phase::waiting))
        {
            const bool first = in_flight || (ordered && !m_upkeep_passed.contains(host));
            turns.at(first ? 0 : ordered ? 1 : 2).push_back(host);
        }
    }
    // An earlier leader has let other hosts pass ordered ones. Which of the ordered hosts are down is unknown
    // until all of them must be back.
    if (down + turns[0].size() > wave.at_once && now - m_term_start <= m_settings.maintenance_lost_timeout)
    {
        return {};
    }
    std::set<std::string> chosen;
    std::vector<std::string> blocked;
    const auto choose = [&chosen, &wave, down](const std::string& host)
    {
        if (down + chosen.size() < wave.at_once)
        {
            chosen.insert(host);
        }
    };
    for (const auto& hosts : turns)
    {
        for (const std::string& host : hosts)
        {
            const bool waits = &hosts == &turns.back() && down + chosen.size() < wave.at_once;
            if (waits && blocks_its_turn(host, now))
            {
                blocked.push_back(host);
                continue;
            }
            choose(host);
        }
    }
    std::for_each(blocked.begin(), blocked.end(), choose);
    return chosen;
}

void dispatcher::advance_wave(const maintenance_wave& wave, monotonic_time now, wall_ms wall)
{
    const bool hurry =
        static_cast<double>(wall - wave.asked) > hurry_part * 1000.0 * static_cast<double>(wave.within_s);
    const std::set<std::string> chosen = choose_hosts(wave, now);
    for (const auto& [host, phase] : wave.hosts)
    {
        const worker_incarnation* incarnation = m_state.find_host(host);
        if (incarnation != nullptr && phase == static_cast<std::uint8_t>(maintenance_phase::under_way))
        {
            await_return(wave, *incarnation, now);
            continue;
        }
        if (!chosen.contains(host) || incarnation == nullptr || m_upkeep_in_flight.contains(host))
        {
            continue;
        }
        m_upkeep_hosts.insert(host);
        if (!empty_host(*incarnation, now, hurry) || now < m_upkeep_retry[host])
        {
            continue;
        }
        m_upkeep_in_flight.insert(host);
        m_upkeep_retry[host] = now + order_retry_delay;
        const auto on_order_answer =
            [this, alive = m_alive, number = wave.wave, host = host](const order_answer& answer)
        {
            if (!*alive)
            {
                return;
            }
            m_upkeep_in_flight.erase(host);
            log_event(m_hooks.now(), "upkeep_ordered", host,
                      {{"wave", number}, {"outcome", static_cast<int>(answer.outcome)}});
            if (answer.outcome == order_outcome::accepted)
            {
                m_upkeep_taken[host] = m_hooks.now();
                m_upkeep_passed.erase(host);
                m_hooks.propose(
                    advance_maintenance{number, host,
                                        static_cast<std::uint8_t>(maintenance_phase::under_way)},
                    [](bool /*committed*/) {}); // a new leader may order it again, which is harmless
            }
        };
        m_hooks.propose(
            advance_maintenance{wave.wave, host, static_cast<std::uint8_t>(maintenance_phase::ordered)},
            [this, alive = m_alive, on_order_answer, host = host, number = wave.wave](bool committed)
            {
                if (*alive && committed)
                {
                    m_hooks.order_maintenance(host, number, m_fence, on_order_answer);
                }
                else if (*alive)
                {
                    m_upkeep_in_flight.erase(host);
                }
            });
    }
}

// The platform answers an order in the same way if the maintenance was done before, and the next incarnation
// on the host may already be admitted by then. So an incarnation that answers a poll sent well after that
// answer counts as having returned; otherwise the wave would wait for ever for a return that it missed.
void dispatcher::await_return(const maintenance_wave& wave, const worker_incarnation& worker,
                              monotonic_time now)
{
    const std::string& host = worker.description.host;
    const auto taken = m_upkeep_taken.find(host);
    const monotonic_time since = taken == m_upkeep_taken.end() ? m_term_start : taken->second;
    const worker_view* view = view_of(worker.id);
    m_upkeep_hosts.insert(host);
    if (view == nullptr || view->answered_poll_sent < since + m_settings.maintenance_effect_delay ||
        now < m_upkeep_retry[host])
    {
        return;
    }
    m_upkeep_retry[host] = now + order_retry_delay;
    log_event(now, "upkeep_over", host, {{"wave", wave.wave}, {"worker", worker.description.id}});
    m_hooks.propose(
        advance_maintenance{wave.wave, host, static_cast<std::uint8_t>(maintenance_phase::finished)},
        [](bool /*committed*/) {}); // proposed again until the phase changes
}

// Stops the runs on a host that move at little cost, and with `force_stop` all others that may be stopped.
// Returns whether the host is idle.
bool dispatcher::empty_host(const worker_incarnation& worker, monotonic_time now, bool hurry)
{
    worker_view& view = m_views[worker.id];
    for (const auto& [run, room] : worker.occupied)
    {
        const step_spec* step = m_state.find(run.task.step);
        const bool moves_well = step != nullptr && (step->long_running || step->checkpoints);
        const bool missed_too_much = step != nullptr && step->long_running && !may_end_lasting(run);
        if ((hurry || moves_well) && !missed_too_much)
        {
            send_stop(view, run, now);
        }
    }
    return worker.occupied.empty() && view.planned.cpu == 0 && view.planned.memory == 0;
}

} // namespace walkthread
