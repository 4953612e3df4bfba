// The part of dispatcher that takes hosts down for upkeep, wave by wave.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>
#include <array>

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

// Whether nobody has come back there for so long that the host is not down for its upkeep: it does not keep
// others from their turn.
bool dispatcher::lost_in_upkeep(const std::string& host, monotonic_time now)
{
    if (m_state.find_host(host) != nullptr)
    {
        m_upkeep_absent.erase(host);
        return false;
    }
    const bool lost = now - m_upkeep_absent.emplace(host, now).first->second > m_settings.upkeep_lost;
    if (lost)
    {
        m_upkeep_passed.insert(host);
    }
    return lost;
}

// Whether some of what lasts there may not be ended now, and has not been for a while: its step misses too
// much as it is, maybe for good.
bool dispatcher::blocks_its_turn(const std::string& host, monotonic_time now)
{
    const worker_life* life = m_state.find_host(host);
    const auto may_not_end = [this](const auto& item)
    {
        const step_spec* step = m_state.find(item.first.task.step);
        return step != nullptr && step->lasting && !may_end_lasting(item.first);
    };
    if (life == nullptr || std::none_of(life->occupied.begin(), life->occupied.end(), may_not_end))
    {
        m_upkeep_blocked.erase(host);
        return false;
    }
    return now - m_upkeep_blocked.emplace(host, now).first->second > m_settings.upkeep_blocked;
}

// The hosts whose turn it is: first those that are being ordered, then those that were and let others pass,
// then those that wait, last those of them that may not be emptied.
std::set<std::string> dispatcher::choose_hosts(const upkeep_wave& wave, monotonic_time now)
{
    std::array<std::vector<std::string>, 3> turns;
    std::size_t down = 0;
    for (const auto& [host, phase] : wave.hosts)
    {
        const auto stage = static_cast<upkeep_phase>(phase);
        const bool ordered = stage == upkeep_phase::ordered;
        const bool in_flight = m_upkeep_in_flight.contains(host);
        const bool begun = ordered || in_flight || stage == upkeep_phase::under_way;
        const bool there = begun ? !lost_in_upkeep(host, now) : m_state.find_host(host) != nullptr;
        down += there && stage == upkeep_phase::under_way ? 1 : 0;
        if (there && (ordered || stage == upkeep_phase::waiting))
        {
            const bool first = in_flight || (ordered && !m_upkeep_passed.contains(host));
            turns.at(first ? 0 : ordered ? 1 : 2).push_back(host);
        }
    }
    // An earlier leader let hosts pass: which of those ordered are down is not known, until all surely are
    // back.
    if (down + turns[0].size() > wave.at_once && now - m_began <= m_settings.upkeep_lost)
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

void dispatcher::advance_wave(const upkeep_wave& wave, monotonic_time now, wall_ms wall)
{
    const bool hurry =
        static_cast<double>(wall - wave.asked) > hurry_part * 1000.0 * static_cast<double>(wave.within_s);
    const std::set<std::string> chosen = choose_hosts(wave, now);
    for (const auto& [host, phase] : wave.hosts)
    {
        const worker_life* life = m_state.find_host(host);
        if (life != nullptr && phase == static_cast<std::uint8_t>(upkeep_phase::under_way))
        {
            await_return(wave, *life, now);
            continue;
        }
        if (!chosen.contains(host) || life == nullptr || m_upkeep_in_flight.contains(host))
        {
            continue;
        }
        m_upkeep_hosts.insert(host);
        if (!empty_host(*life, now, hurry) || now < m_upkeep_retry[host])
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
                m_upkeep_passed.erase(host);
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
