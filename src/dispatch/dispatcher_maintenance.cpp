// dispatcher: drains hosts for maintenance, in waves.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>
#include <array>

namespace walkthread
{

namespace
{
constexpr duration order_retry_delay = milliseconds(400); // per host, as calls are rate-limited
constexpr double forced_stop_fraction =
    0.6; // share of a wave's time after which runs are stopped, not waited for
} // namespace

void dispatcher::advance_maintenance_waves(monotonic_time now, wall_ms wall)
{
    m_maintenance_hosts.clear();
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
bool dispatcher::missing_in_maintenance(const std::string& host, monotonic_time now)
{
    if (m_state.find_host(host) != nullptr)
    {
        m_maintenance_absent.erase(host);
        return false;
    }
    const bool lost =
        now - m_maintenance_absent.emplace(host, now).first->second > m_settings.maintenance_lost_timeout;
    if (lost)
    {
        m_maintenance_overtaken.insert(host);
    }
    return lost;
}

// Whether the host has had long-running tasks that may not be stopped for a while, because their step already
// misses too many tasks. That may never change.
bool dispatcher::drain_blocked(const std::string& host, monotonic_time now)
{
    const worker_incarnation* incarnation = m_state.find_host(host);
    const auto may_not_end = [this](const auto& item)
    {
        const step_spec* step = m_state.find(item.first.task.step);
        return step != nullptr && step->long_running && !may_stop_long_running(item.first);
    };
    if (incarnation == nullptr ||
        std::none_of(incarnation->occupied.begin(), incarnation->occupied.end(), may_not_end))
    {
        m_drain_blocked_since.erase(host);
        return false;
    }
    return now - m_drain_blocked_since.emplace(host, now).first->second >
           m_settings.maintenance_blocked_timeout;
}

// The hosts to drain now, at most `wave.at_once` down at a time. Hosts with an order in progress go first,
// then those whose order no longer delays the others, then waiting hosts, and last the waiting hosts that may
// not be drained.
std::set<std::string> dispatcher::choose_maintenance_hosts(const maintenance_wave& wave, monotonic_time now)
{
    std::array<std::vector<std::string>, 3> turns;
    std::size_t down = 0;
    for (const auto& [host, phase] : wave.hosts)
    {
        const auto stage = static_cast<maintenance_phase>(phase);
        const bool ordered = stage == maintenance_phase::ordered;
        const bool in_flight = m_maintenance_in_flight.contains(host);
        const bool begun = ordered || in_flight || stage == maintenance_phase::under_way;
        const bool there = begun ? !missing_in_maintenance(host, now) : m_state.find_host(host) != nullptr;
        down += there && stage == maintenance_phase::under_way ? 1 : 0;
        if (there && (ordered || stage == maintenance_phase::waiting))
        {
            const bool first = in_flight || (ordered && !m_maintenance_overtaken.contains(host));
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
            if (waits && drain_blocked(host, now))
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
    const bool force_stop = static_cast<double>(wall - wave.asked) >
                            forced_stop_fraction * 1000.0 * static_cast<double>(wave.within_s);
    const std::set<std::string> chosen = choose_maintenance_hosts(wave, now);
    for (const auto& [host, phase] : wave.hosts)
    {
        const worker_incarnation* incarnation = m_state.find_host(host);
        if (incarnation != nullptr && phase == static_cast<std::uint8_t>(maintenance_phase::under_way))
        {
            confirm_return(wave, *incarnation, now);
            continue;
        }
        if (!chosen.contains(host) || incarnation == nullptr || m_maintenance_in_flight.contains(host))
        {
            continue;
        }
        m_maintenance_hosts.insert(host);
        if (!drain_host(*incarnation, now, force_stop) || now < m_maintenance_retry[host])
        {
            continue;
        }
        m_maintenance_in_flight.insert(host);
        m_maintenance_retry[host] = now + order_retry_delay;
        const auto on_order_answer =
            [this, alive = m_alive, number = wave.wave, host = host](const order_answer& answer)
        {
            if (!*alive)
            {
                return;
            }
            m_maintenance_in_flight.erase(host);
            log_event(m_hooks.now(), "upkeep_ordered", host,
                      {{"wave", number}, {"outcome", static_cast<int>(answer.outcome)}});
            if (answer.outcome == order_outcome::accepted)
            {
                m_maintenance_accepted[host] = m_hooks.now();
                m_maintenance_overtaken.erase(host);
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
                    m_maintenance_in_flight.erase(host);
                }
            });
    }
}

// The platform answers an order in the same way if the maintenance was done before, and the next incarnation
// on the host may already be admitted by then. So an incarnation that answers a poll sent well after that
// answer counts as having returned; otherwise the wave would wait for ever for a return that it missed.
void dispatcher::confirm_return(const maintenance_wave& wave, const worker_incarnation& worker,
                                monotonic_time now)
{
    const std::string& host = worker.description.host;
    const auto taken = m_maintenance_accepted.find(host);
    const monotonic_time since = taken == m_maintenance_accepted.end() ? m_term_start : taken->second;
    const worker_view* view = view_of(worker.id);
    m_maintenance_hosts.insert(host);
    if (view == nullptr || view->answered_poll_sent < since + m_settings.maintenance_effect_delay ||
        now < m_maintenance_retry[host])
    {
        return;
    }
    m_maintenance_retry[host] = now + order_retry_delay;
    log_event(now, "upkeep_over", host, {{"wave", wave.wave}, {"worker", worker.description.id}});
    m_hooks.propose(
        advance_maintenance{wave.wave, host, static_cast<std::uint8_t>(maintenance_phase::finished)},
        [](bool /*committed*/) {}); // proposed again until the phase changes
}

// Stops the runs on a host that move at little cost, and with `force_stop` all others that may be stopped.
// Returns whether the host is idle.
bool dispatcher::drain_host(const worker_incarnation& worker, monotonic_time now, bool force_stop)
{
    worker_view& view = m_views[worker.id];
    for (const auto& [run, room] : worker.occupied)
    {
        const step_spec* step = m_state.find(run.task.step);
        const bool cheap_to_move = step != nullptr && (step->long_running || step->checkpoints);
        const bool must_keep_running = step != nullptr && step->long_running && !may_stop_long_running(run);
        if ((force_stop || cheap_to_move) && !must_keep_running)
        {
            send_stop(view, run, now);
        }
    }
    return worker.occupied.empty() && view.planned.cpu == 0 && view.planned.memory == 0;
}

} // namespace walkthread
