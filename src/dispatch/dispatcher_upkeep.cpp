// The part of dispatcher that takes hosts down for upkeep, wave by wave.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

namespace walkthread
{

namespace
{
constexpr duration order_retry = milliseconds(400); // between two orders for one host; calls are rationed
constexpr double hurry_part = 0.6; // of a wave's time, after which runs are stopped instead of waited for
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

void dispatcher::advance_wave(const upkeep_wave& wave, monotonic_time now, wall_ms wall)
{
    std::uint32_t busy = 0;
    for (const auto& [host, phase] : wave.hosts)
    {
        const bool begun = phase == static_cast<std::uint8_t>(upkeep_phase::ordered) ||
                           phase == static_cast<std::uint8_t>(upkeep_phase::under_way);
        busy += begun ? 1 : 0;
    }
    const bool hurry =
        static_cast<double>(wall - wave.asked) > hurry_part * 1000.0 * static_cast<double>(wave.within_s);
    for (const auto& [host, phase] : wave.hosts)
    {
        const auto life = std::find_if(m_state.workers().begin(), m_state.workers().end(),
                                       [&host = host](const auto& item)
                                       {
                                           return item.second.facts.host == host;
                                       });
        const auto stage = static_cast<upkeep_phase>(phase);
        if (stage == upkeep_phase::under_way && life != m_state.workers().end())
        {
            await_return(wave, life->second, now);
            continue;
        }
        const bool chosen =
            stage == upkeep_phase::ordered || (stage == upkeep_phase::waiting && busy < wave.at_once);
        if (!chosen || life == m_state.workers().end() || m_upkeep_in_flight.contains(host))
        {
            continue;
        }
        busy += stage == upkeep_phase::waiting ? 1 : 0;
        m_upkeep_hosts.insert(host);
        if (!empty_host(life->second, now, hurry) || now < m_upkeep_retry[host])
        {
            continue;
        }
        m_upkeep_in_flight.insert(host);
        m_upkeep_retry[host] = now + order_retry;
        const auto tell = [this, alive = m_alive, number = wave.wave, host = host](const order_answer& answer)
        {
            if (!*alive)
            {
                return;
            }
            m_upkeep_in_flight.erase(host);
            note(m_hooks.now(), "upkeep_ordered", host,
                 {{"wave", number}, {"outcome", static_cast<int>(answer.outcome)}});
            if (answer.outcome == order_outcome::accepted)
            {
                m_upkeep_taken[host] = m_hooks.now();
                m_hooks.propose(
                    advance_upkeep{number, host, static_cast<std::uint8_t>(upkeep_phase::under_way)},
                    [](bool /*committed*/) {}); // asked again after a change of leader; that is harmless
            }
        };
        m_hooks.propose(advance_upkeep{wave.wave, host, static_cast<std::uint8_t>(upkeep_phase::ordered)},
                        [this, alive = m_alive, tell, host = host, number = wave.wave](bool committed)
                        {
                            if (*alive && committed)
                            {
                                m_hooks.order_upkeep(host, number, m_fence, tell);
                            }
                            else if (*alive)
                            {
                                m_upkeep_in_flight.erase(host);
                            }
                        });
    }
}

// The platform's answer to an order is the same for an upkeep that was done before, when the host's next life
// may be admitted already: a life that answers well after it is that one. Else a wave would wait for ever for
// a return that it has not seen.
void dispatcher::await_return(const upkeep_wave& wave, const worker_life& worker, monotonic_time now)
{
    const std::string& host = worker.facts.host;
    const auto taken = m_upkeep_taken.find(host);
    const monotonic_time since = taken == m_upkeep_taken.end() ? m_began : taken->second;
    const worker_view* view = view_of(worker.id);
    m_upkeep_hosts.insert(host);
    if (view == nullptr || view->answered_look < since + m_settings.upkeep_shows ||
        now < m_upkeep_retry[host])
    {
        return;
    }
    m_upkeep_retry[host] = now + order_retry;
    note(now, "upkeep_over", host, {{"wave", wave.wave}, {"worker", worker.facts.id}});
    m_hooks.propose(advance_upkeep{wave.wave, host, static_cast<std::uint8_t>(upkeep_phase::finished)},
                    [](bool /*committed*/) {}); // proposed again while the phase stays
}

// Whether nothing runs there any more; when in a hurry, what runs is stopped.
bool dispatcher::empty_host(const worker_life& worker, monotonic_time now, bool hurry)
{
    worker_view& view = m_views[worker.id];
    for (const auto& [run, room] : worker.occupied)
    {
        const step_spec* step = m_state.find(run.task.step);
        const bool moves_well = step != nullptr && (step->lasting || step->checkpoints);
        const bool missed_too_much = step != nullptr && step->lasting && !may_end_lasting(run);
        if ((hurry || moves_well) && !missed_too_much)
        {
            send_stop(view, run, now);
        }
    }
    return worker.occupied.empty() && view.planned.cpu == 0 && view.planned.memory == 0;
}

} // namespace walkthread
