#include <walkthread/fabric/core_node.hpp>

#include <algorithm>
#include <random>

#include <boost/asio/post.hpp>

#include <walkthread/fabric/addresses.hpp>
#include <walkthread/node/clock.hpp>
#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
constexpr std::uint64_t founding_life = 1; // the low half of a founder's incarnation; later ones are random
constexpr std::size_t most_questions_waiting = 2; // so that a process that comes free has one at hand

// A replica's identity carries its IP number: who knows a membership knows where its members are.
replica_id make_replica_id(const std::string& ip, std::uint64_t life)
{
    const std::uint64_t number = detail::ip_number(ip);
    const auto node = static_cast<std::uint16_t>((number & 0xFFFFU) | 1U);
    return {node_id{node}, incarnation_id{(number << detail::address_bits) | life}};
}

} // namespace

std::string peer_address_of(const replica_id& replica, std::uint16_t port)
{
    return detail::ip_text(static_cast<std::uint32_t>(detail::ip_part(replica))) + ':' + std::to_string(port);
}

core_node::core_node(boost::asio::io_context& loop, fabric_settings settings, core_node_settings times,
                     outside_hooks outside, decision_log& log, std::function<void(const storage_error&)> stop)
    : fabric_node(loop, std::move(settings), std::move(outside), log), m_times(times),
      m_stop(std::move(stop)),
      m_desk(
          [this](const std::string& asker, const advice_question& question,
                 const advice_desk::answer_handler& handler)
          {
              constexpr milliseconds patience{2500}; // the slowest question takes about 1 s
              m_router.call_peer(asker, advise_call{question}, patience,
                                 [handler](const service_reply& reply)
                                 {
                                     handler(reply.advice);
                                 });
          }),
      m_pass_timer(loop)
{
    m_desk.set_clock(monotonic_now);
    m_times.dispatch.lease_cap = m_settings.lease_cap;
}

core_node::~core_node()
{
    *m_alive = false;
    m_dispatcher.reset();
    m_replica.reset();
}

std::string core_node::start()
{
    const std::string ip = detail::ip_of(m_settings.peer_address);
    const auto& seeds = m_settings.seeds;
    const bool founder =
        m_settings.founding && std::find(seeds.begin(), seeds.end(), m_settings.peer_address) != seeds.end();
    std::random_device entropy;
    const std::uint64_t life = founder ? founding_life : (entropy() | 2U);
    folder_identity fresh;
    const replica_id self = make_replica_id(ip, life);
    fresh.node = self.node;
    fresh.incarnation = self.incarnation;
    if (founder)
    {
        membership founders;
        for (const std::string& seed : seeds)
        {
            founders.voters.push_back(make_replica_id(detail::ip_of(seed), founding_life));
        }
        std::sort(founders.voters.begin(), founders.voters.end());
        fresh.founding[workload_group] = founders;
    }
    auto folder = data_folder::open(m_settings.data_folder, fresh);
    if (!ok(folder))
    {
        return "Error " + std::to_string(error_of(folder).number()) + ": " + error_of(folder).detail;
    }
    open_group(std::move(value_of(folder)));
    std::string failed = fabric_node::start();
    if (failed.empty())
    {
        m_replica->start();
    }
    return failed;
}

void core_node::open_group(std::unique_ptr<data_folder> folder)
{
    state_hooks hooks;
    hooks.apply = [this](wall_ms at, const std::string& bytes)
    {
        auto command = decode<workload_command>(bytes);
        const workload_result outcome =
            ok(command) ? m_state.apply(at, value_of(command))
                        : workload_result{static_cast<std::int32_t>(error_of(command).number()),
                                          error_of(command).detail};
        return encode(outcome);
    };
    hooks.save = [this]
    {
        return m_state.save();
    };
    hooks.load = [this](const std::string& bytes)
    {
        return m_state.load(bytes);
    };
    replica_start start = folder->start_of(workload_group);
    if (!start.base.data.empty())
    {
        m_state.load(start.base.data);
    }
    const replica_id self{folder->identity().node, folder->identity().incarnation};
    note("replica_opened", {},
         {{"incarnation", self.incarnation.value()},
          {"term", start.state.term.value()},
          {"snapshot", start.base.index.value()},
          {"entries", start.entries.size()},
          {"voters", start.base.members.voters.size()}});
    replica core(workload_group, self, m_times.replication, std::move(start), self.incarnation.value(),
                 monotonic_now());
    auto group = std::make_unique<replicated_group>(workload_group, std::move(core), std::move(hooks));
    replica_host_hooks outward;
    outward.send = [this](const replica_envelope& envelope)
    {
        const std::string to = peer_address_of(envelope.to, detail::port_of(m_settings.peer_address));
        m_mesh.send(to, replica_note{envelope.from, envelope.to, encode(envelope.message)});
    };
    outward.changed = [this]
    {
        changed();
    };
    outward.disk_failed = [this](const storage_error& error)
    {
        note("disk_failed", {}, {{"error", error.number()}, {"detail", error.detail}});
        m_stop(error);
    };
    outward.disk_refuses = [this](const storage_error& error)
    {
        note("disk_refuses", {}, {{"error", error.number()}, {"detail", error.detail}});
    };
    m_replica = std::make_unique<replica_host>(m_loop, std::move(folder), std::move(group),
                                               std::move(outward), m_times.tick);
}

// ---------------------------------------------------------------------------------------------------------
// Leadership
// ---------------------------------------------------------------------------------------------------------

bool core_node::leads(monotonic_time now) const
{
    return m_replica && m_replica->group().core().holds_lease(now);
}

bool core_node::enough_copies() const
{
    return m_replica->group().core().members().voters.size() >= wanted_voters();
}

bool core_node::may_end() const
{
    return m_replica->group().core().role() != replica_role::leader;
}

void core_node::prepare_stop()
{
    m_stopping = true;
    m_replica->group().core().decline_leadership();
    m_replica->group().core().hand_over(monotonic_now());
    m_replica->pump();
    end_leading("planned stop");
}

void core_node::changed()
{
    if (!m_replica)
    {
        return;
    }
    const monotonic_time now = monotonic_now();
    replica& core = m_replica->group().core();
    const bool leader = core.role() == replica_role::leader;
    if (m_dispatcher && (!leader || core.term().value() != m_led_term))
    {
        end_leading("deposed");
    }
    if (!m_dispatcher && leader && !m_stopping && core.holds_lease(now))
    {
        begin_leading(now);
    }
    if (leader && core.holds_lease(now))
    {
        m_router.set_leader(m_settings.peer_address);
    }
    else if (core.leader().node.value() != 0 && core.leader() != core.self())
    {
        m_router.set_leader(peer_address_of(core.leader(), detail::port_of(m_settings.peer_address)));
    }
    if (m_dispatcher)
    {
        wake_dispatcher();
    }
}

void core_node::begin_leading(monotonic_time now)
{
    m_led_term = m_replica->group().core().term().value();
    note("leading", {},
         {{"term", m_led_term},
          {"workers", m_state.workers().size()},
          {"submissions", m_state.submissions().size()}});
    m_dispatcher =
        std::make_unique<dispatcher>(m_state, m_times.dispatch, make_hooks(), m_log, m_led_term, now);
    tell_leadership(now);
}

// Those that asked lately need not find out by themselves.
void core_node::tell_leadership(monotonic_time now)
{
    const leader_note news = present_leader(now);
    for (const auto& [asker, asked] : m_askers)
    {
        if (now - asked < m_times.asker_known)
        {
            m_mesh.send(asker, news);
        }
    }
}

void core_node::end_leading(std::string_view reason)
{
    if (m_dispatcher)
    {
        note("leading_no_more", {}, {{"term", m_led_term}, {"reason", reason}});
        m_dispatcher.reset();
        m_desk.clear();
    }
}

dispatch_hooks core_node::make_hooks()
{
    const auto unanswered_look = look_answer{order_outcome::unanswered, 0, {}, {}};
    const auto unanswered = order_answer{order_outcome::unanswered, std::nullopt, false};
    dispatch_hooks hooks;
    hooks.now = monotonic_now;
    hooks.propose = [this](const workload_command& command, const std::function<void(bool)>& handler)
    {
        propose(command,
                [handler](const std::optional<workload_result>& outcome)
                {
                    handler(outcome.has_value());
                });
    };
    // After a pause this process may lead no longer: each order checks that first.
    hooks.look = [this, unanswered_look](const look_order& order,
                                         const std::function<void(const look_answer&)>& handler)
    {
        leads(monotonic_now()) ? m_outside.look(order, handler) : handler(unanswered_look);
    };
    hooks.start = [this, unanswered](const start_task_order& order,
                                     const std::function<void(const order_answer&)>& handler)
    {
        leads(monotonic_now()) ? m_outside.start(order, handler) : handler(unanswered);
    };
    hooks.stop = [this, unanswered](const stop_task_order& order,
                                    const std::function<void(const order_answer&)>& handler)
    {
        leads(monotonic_now()) ? m_outside.stop(order, handler) : handler(unanswered);
    };
    hooks.pace = [this, unanswered](const pace_task_order& order,
                                    const std::function<void(const order_answer&)>& handler)
    {
        leads(monotonic_now()) ? m_outside.pace(order, handler) : handler(unanswered);
    };
    hooks.order_upkeep = [this, unanswered](const std::string& host, std::uint64_t wave, std::uint64_t fence,
                                            const std::function<void(const order_answer&)>& handler)
    {
        leads(monotonic_now()) ? m_outside.order_upkeep(host, wave, fence, handler) : handler(unanswered);
    };
    hooks.advise = [this](const advice_question& question, bool urgent,
                          const std::function<void(const advice_answer&)>& handler)
    {
        m_desk.put(question, urgent, handler, monotonic_now());
    };
    hooks.advisors_free = [this]
    {
        return m_desk.normal_waiting() < most_questions_waiting;
    };
    hooks.advisors_idle = [this]
    {
        return m_desk.mostly_idle(monotonic_now());
    };
    hooks.wake = [this]
    {
        wake_dispatcher();
    };
    return hooks;
}

void core_node::wake_dispatcher()
{
    if (m_pass_due || !m_dispatcher)
    {
        return;
    }
    m_pass_due = true;
    arm_pass(m_last_pass + m_times.pass_gap);
}

// The next pass, at that time; one that was to come later no longer does.
void core_node::arm_pass(monotonic_time when)
{
    m_pass_timer.expires_after(std::max<duration>(when - monotonic_now(), duration{0}));
    m_pass_timer.async_wait(
        [this, alive = m_alive](boost::system::error_code cancelled)
        {
            if (*alive && !cancelled)
            {
                m_pass_due = false;
                run_pass();
            }
        });
}

void core_node::run_pass()
{
    const monotonic_time now = monotonic_now();
    if (!m_dispatcher || !leads(now))
    {
        return;
    }
    m_last_pass = now;
    m_dispatcher->pass(now, wall_now());
    if (!m_pass_due)
    {
        arm_pass(m_dispatcher->next_pass(now));
    }
}

std::string core_node::figures() const
{
    const replica& core = m_replica->group().core();
    std::string out = fabric_node::figures();
    const auto line = [&out](const char* name, std::uint64_t value)
    {
        out += std::string(name) + ' ' + std::to_string(value) + '\n';
    };
    line("walkthread_term", core.term().value());
    line("walkthread_leads", m_dispatcher ? 1 : 0);
    line("walkthread_commit_index", core.commit_index().value());
    line("walkthread_voters", core.members().voters.size());
    line("walkthread_learners", core.members().learners.size());
    line("walkthread_votes", core.members().is_voter(core.self()) ? 1 : 0);
    line("walkthread_log_syncs_total", m_replica->syncs());
    line("walkthread_submissions_kept", m_state.submissions().size());
    line("walkthread_steps_ready", m_state.ready().size());
    line("walkthread_workers", m_state.workers().size());
    line("walkthread_advice_waiting", m_desk.waiting());
    if (m_dispatcher)
    {
        const dispatch_counters& c = m_dispatcher->counters();
        line("walkthread_task_starts_total", c.starts);
        line("walkthread_task_ends_total", c.ends);
        line("walkthread_task_starts_refused_total", c.refused_starts);
        line("walkthread_orders_unanswered_total", c.unanswered_orders);
        line("walkthread_workers_lost_total", c.lost_workers);
        line("walkthread_advice_questions_total", c.questions);
        line("walkthread_preemptions_total", c.preemptions);
    }
    return out;
}

} // namespace walkthread
