// The part of dispatcher that hears workers' reports: which lives there are, and which of them leave.

#include <walkthread/dispatch/dispatcher.hpp>

#include <algorithm>

namespace walkthread
{

void dispatcher::take_report(const worker_report& report, monotonic_time now,
                             const std::function<void(bool)>& done)
{
    const worker_life* known = m_state.find_life(report.facts.life());
    if (known != nullptr && !known->assumed && known->facts == report.facts)
    {
        sync_views(now);
        take_known_report(m_views[known->id], report, now);
        record_leaving(*known, report, done);
        return;
    }
    if (known != nullptr && !known->assumed && report.sequence < known->facts_sequence)
    {
        // Its room has changed since: with an older room put back, tasks went over it.
        note(now, "report_not_taken", report.facts.id,
             {{"reason", "older than what is known"}, {"sequence", report.sequence}});
        done(true);
        return;
    }
    if (lacks_birth(report))
    {
        note(now, "report_not_taken", report.facts.id,
             {{"reason", "it does not say when it started, as workers here do"},
              {"address", report.facts.address}});
        done(false);
        return;
    }
    if (!names_known_pool(report))
    {
        note(now, "report_not_taken", report.facts.id,
             {{"reason", "no such pool"}, {"pool", report.facts.pool}, {"address", report.facts.address}});
        done(false); // a worker of a pool that is configured later reports again until then
        return;
    }
    if (!m_joining.insert(report.facts.host).second)
    {
        done(false); // a report of this host is being looked into; the worker reports again
        return;
    }
    const worker_life* present = m_state.find_host(report.facts.host);
    if (known == nullptr && present != nullptr)
    {
        ask_who_lives_there(report, present->id, done);
        return;
    }
    admit(report, {}, done);
}

// Where workers tell when they started, a report that does not is of another writer. All do or none does, so
// the first one known tells.
bool dispatcher::lacks_birth(const worker_report& report) const
{
    const auto& workers = m_state.workers();
    return report.facts.born == birth_ms{} && !workers.empty() &&
           workers.begin()->second.facts.born != birth_ms{};
}

// Before there is a catalogue nobody can tell; workers that report then are known when work comes.
bool dispatcher::names_known_pool(const worker_report& report) const
{
    const auto& held = m_state.held_catalogue();
    return !held || std::any_of(held->pools.begin(), held->pools.end(),
                                [&report](const pool_spec& pool)
                                {
                                    return pool.name == report.facts.pool;
                                });
}

void dispatcher::take_known_report(worker_view& view, const worker_report& report, monotonic_time now)
{
    view.reported = true;
    if (report.sequence >= view.sequence)
    {
        view.sequence = report.sequence;
        if (report.draining != view.draining)
        {
            m_hooks.wake();
            note(now, report.draining ? "worker_draining" : "worker_ready", report.facts.id,
                 {{"from", "report"},
                  {"sequence", report.sequence},
                  {"remaining_ms", report.remaining_ms},
                  {"runs", m_state.find(view.id)->occupied.size()}});
        }
        view.draining = report.draining;
        view.leaves_at = now + milliseconds(report.remaining_ms);
    }
    if (!view.answered)
    {
        view.note_clock(report.clock_ms, now);
    }
}

// Whether a worker leaves is acknowledged once the next leader would know it as well: it hears the worker
// seconds after it began to lead, as reports went to the former one. Each report of a worker that leaves is
// recorded with its number: else the next leader would believe an older one that says otherwise and comes
// late.
void dispatcher::record_leaving(const worker_life& known, const worker_report& report,
                                const std::function<void(bool)>& done)
{
    const bool stays = !report.draining && !known.leaving;
    if (stays || report.sequence <= known.leaving_sequence)
    {
        done(true);
        return;
    }
    m_hooks.propose(mark_leaving{known.id, report.sequence, report.draining},
                    [this, alive = m_alive, life = known.facts.id, leaving = report.draining,
                     sequence = report.sequence, proposed = m_hooks.now(), done](bool committed)
                    {
                        if (*alive)
                        {
                            const monotonic_time now = m_hooks.now();
                            note(now, "leaving_recorded", life,
                                 {{"leaving", leaving},
                                  {"sequence", sequence},
                                  {"committed", committed},
                                  {"took_ms", now - proposed}});
                        }
                        done(committed);
                    });
}

// A report that a cut held back may come after its life has ended and another one has begun on the host: its
// arrival does not make it the newer one. So the address is asked who lives there, before the work of the
// life that is present is given up: else it ran twice.
void dispatcher::ask_who_lives_there(const worker_report& report, worker_life_id present,
                                     const std::function<void(bool)>& done)
{
    look_order question;
    question.to = {worker_life_id{}, report.facts.id, report.facts.born, report.facts.address, m_fence};
    question.patience = m_settings.look_patience;
    m_hooks.look(question,
                 [this, alive = m_alive, report, present, done](const look_answer& answer)
                 {
                     if (!*alive)
                     {
                         done(false);
                         return;
                     }
                     const worker_life* still = m_state.find_host(report.facts.host);
                     const bool unchanged = still == nullptr || still->id == present;
                     const bool lives =
                         answer.outcome == order_outcome::accepted && answer.born == report.facts.born;
                     if (lives && unchanged)
                     {
                         admit(report, answer, done);
                         return;
                     }
                     m_joining.erase(report.facts.host);
                     note(m_hooks.now(), "report_not_taken", report.facts.id,
                          {{"host", report.facts.host},
                           {"address", report.facts.address},
                           {"outcome", static_cast<int>(answer.outcome)},
                           {"born", report.facts.born.value()},
                           {"lives", answer.born.value()},
                           {"present", still == nullptr ? std::string{} : still->facts.id}});
                     done(false);
                 });
}

void dispatcher::admit(const worker_report& report, const look_answer& answer,
                       const std::function<void(bool)>& done)
{
    const worker_life* present = m_state.find_host(report.facts.host);
    const bool replaces = present != nullptr && present->facts.life() != report.facts.life();
    worker_view* former = replaces ? view_of(present->id) : nullptr;
    admit_worker command{report.facts, report.sequence, false, {}};
    if (former != nullptr && present->facts.id == report.facts.id)
    {
        note_restart(*former, report.facts.born, "report", m_hooks.now());
        former->gone = true;
        command.lost = lost_at_restart(*former, answer, m_hooks.now());
        note_lost_runs(*former, command.lost, m_hooks.now());
    }
    else if (former != nullptr)
    {
        drop_replaced(*former, m_hooks.now());
    }
    const worker_life_id before = former == nullptr ? worker_life_id{} : former->id;
    m_hooks.propose(command,
                    [this, alive = m_alive, report, done, before](bool committed)
                    {
                        if (!*alive)
                        {
                            done(false);
                            return;
                        }
                        m_joining.erase(report.facts.host);
                        look_at_new_life(report.facts.life(), m_hooks.now());
                        if (worker_view* still = view_of(before); still != nullptr && !committed)
                        {
                            still->gone = false;
                        }
                        const worker_life* admitted = m_state.find_life(report.facts.life());
                        if (!committed || admitted == nullptr || admitted->facts != report.facts)
                        {
                            done(false);
                            return;
                        }
                        const monotonic_time now = m_hooks.now();
                        note(now, "worker_admitted", report.facts.id,
                             {{"host", report.facts.host},
                              {"hall", report.facts.hall},
                              {"born", report.facts.born.value()}});
                        take_report(report, now, done);
                    });
}

void dispatcher::take_leave(const std::string& id, const std::function<void(bool)>& done)
{
    const worker_life* known = m_state.find_id(id);
    if (known == nullptr)
    {
        done(true);
        return;
    }
    if (!known->leaving)
    {
        // A word of a former life that came late, or of a life that nobody heard leaving: the next looks
        // tell.
        note(m_hooks.now(), "leave_not_taken", id, {{"born", known->facts.born.value()}});
        done(true);
        return;
    }
    m_hooks.propose(drop_worker{known->id, true, {}},
                    [this, alive = m_alive, id, done](bool committed)
                    {
                        if (*alive && committed)
                        {
                            note(m_hooks.now(), "worker_left", id, {});
                            m_hooks.wake();
                        }
                        done(committed);
                    });
}

} // namespace walkthread
