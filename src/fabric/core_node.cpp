#include <walkthread/fabric/core_node.hpp>

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>

#include <walkthread/fabric/addresses.hpp>
#include <walkthread/node/clock.hpp>
#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
constexpr std::uint64_t founder_incarnation =
    1; // the low half of a founder's incarnation; random for later replicas
constexpr std::size_t max_queued_normal_queries = 2; // so that a client that becomes idle has the next query

// A replica's identity contains its IPv4 address, so the membership alone gives the addresses of its members.
replica_id make_replica_id(const std::string& ip, std::uint64_t incarnation)
{
    const std::uint64_t number = detail::ip_number(ip);
    const auto node = static_cast<std::uint16_t>((number & 0xFFFFU) | 1U);
    return {node_id{node}, incarnation_id{(number << detail::address_bits) | incarnation}};
}

} // namespace

std::string peer_address_of(const replica_id& replica, std::uint16_t port)
{
    return detail::ip_text(static_cast<std::uint32_t>(detail::ip_part(replica))) + ':' + std::to_string(port);
}

core_node::core_node(boost::asio::io_context& loop, fabric_settings settings,
                     core_node_settings core_settings, platform_hooks hooks, decision_log& log,
                     std::function<void(const storage_error&)> stop)
    : fabric_node(loop, std::move(settings), std::move(hooks), log), m_core_settings(core_settings),
      m_stop(std::move(stop)),
      m_advisor_queries(
          [this](const std::string& client, const advice_question& question,
                 const advisor_query_queue::answer_handler& handler)
          {
              constexpr milliseconds timeout{2500}; // the slowest query takes about 1 s
              m_router.call_peer(client, advise_call{question}, timeout,
                                 [handler](const service_reply& reply)
                                 {
                                     handler(reply.advice);
                                 });
          }),
      m_admission(m_settings.state), m_pass_timer(loop)
{
    m_advisor_queries.set_clock(monotonic_now);
    m_core_settings.dispatch.max_lease = m_settings.max_lease;
    m_core_settings.dispatch.state = m_settings.state;
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
    const std::uint64_t incarnation = founder ? founder_incarnation : (entropy() | 2U);
    folder_identity new_identity;
    const replica_id self = make_replica_id(ip, incarnation);
    new_identity.node = self.node;
    new_identity.incarnation = self.incarnation;
    if (founder)
    {
        membership founders;
        for (const std::string& seed : seeds)
        {
            founders.voters.push_back(make_replica_id(detail::ip_of(seed), founder_incarnation));
        }
        std::sort(founders.voters.begin(), founders.voters.end());
        new_identity.founding[workload_group] = founders;
    }
    auto folder = data_folder::open(m_settings.data_folder, new_identity);
    if (!ok(folder))
    {
        return "Cannot open the data folder: error " + std::to_string(error_of(folder).number()) + ": " +
               error_of(folder).detail;
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
    state_machine_hooks hooks;
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
    replica_start start = folder->take_recovered_state(workload_group);
    if (!start.base.data.empty())
    {
        m_state.load(start.base.data);
    }
    folder->limit_log(m_settings.storage.log_bytes);
    m_core_settings.replication.snapshot_bytes = m_settings.storage.snapshot_bytes;
    const replica_id self{folder->identity().node, folder->identity().incarnation};
    log_event("replica_opened", {},
              {{"incarnation", self.incarnation.value()},
               {"term", start.state.term.value()},
               {"snapshot", start.base.index.value()},
               {"entries", start.entries.size()},
               {"voters", start.base.members.voters.size()}});
    replica core(workload_group, self, m_core_settings.replication, std::move(start),
                 self.incarnation.value(), monotonic_now());
    auto group = std::make_unique<replicated_group>(workload_group, std::move(core), std::move(hooks));
    replica_host_hooks replica_hooks;
    replica_hooks.send = [this](const replica_envelope& envelope)
    {
        const std::string to = peer_address_of(envelope.to, detail::port_of(m_settings.peer_address));
        m_mesh.send(to, encoded_replica_message{envelope.from, envelope.to, encode(envelope.message)});
    };
    replica_hooks.changed = [this]
    {
        changed();
    };
    replica_hooks.disk_failed = [this](const storage_error& error)
    {
        log_event("disk_failed", {}, {{"error", error.number()}, {"detail", error.detail}});
        m_stop(error);
    };
    replica_hooks.disk_refuses = [this](const storage_error& error)
    {
        handle_disk_refusal(error);
    };
    replica_hooks.disk_accepts = [this]
    {
        handle_disk_recovery();
    };
    replica_hooks.maintenance_ended =
        [this](const disk_report& report, const result<done, storage_error>& outcome)
    {
        log_maintenance(report, outcome);
    };
    m_replica = std::make_unique<replica_host>(m_loop, std::move(folder), std::move(group),
                                               std::move(replica_hooks), m_core_settings.tick);
}

// ---------------------------------------------------------------------------------------------------------
// Leadership
// ---------------------------------------------------------------------------------------------------------

bool core_node::leads(monotonic_time now) const
{
    return m_replica && m_replica->group().leads(now);
}

bool core_node::has_enough_voters() const
{
    return m_replica->group().core().members().voters.size() >= target_voters();
}

bool core_node::may_exit() const
{
    return m_replica->group().core().role() != replica_role::leader;
}

void core_node::prepare_stop()
{
    m_stopping = true;
    m_replica->group().core().set_leadership_declined();
    m_replica->group().core().transfer_leadership(monotonic_now());
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
    if (!m_dispatcher && !m_stopping && leads(now))
    {
        begin_leading(now);
    }
    if (leads(now))
    {
        follow(m_settings.peer_address);
    }
    else if (core.leader().node.value() != 0 && core.leader() != core.self())
    {
        follow(peer_address_of(core.leader(), detail::port_of(m_settings.peer_address)));
    }
    if (m_dispatcher)
    {
        wake_dispatcher();
    }
}

void core_node::begin_leading(monotonic_time now)
{
    m_led_term = m_replica->group().core().term().value();
    log_event("leading", {},
              {{"term", m_led_term},
               {"workers", m_state.workers().size()},
               {"submissions", m_state.submissions().size()}});
    m_dispatcher =
        std::make_unique<dispatcher>(m_state, m_core_settings.dispatch, make_hooks(), m_log, m_led_term, now);
    // Otherwise the first advisor queries would wait for the next leader query of each client.
    for (const auto& [address, known] : m_leader_clients)
    {
        if (known.can_query_advisor)
        {
            m_advisor_queries.record_client(address, known.asked);
        }
    }
    announce_leadership(now);
}

// Notifies processes with a recent leader query, so that they need not discover the change.
void core_node::announce_leadership(monotonic_time now)
{
    const leader_status status = describe_leader(now);
    for (const auto& [address, known] : m_leader_clients)
    {
        if (now - known.asked < m_core_settings.leader_notice_window)
        {
            m_mesh.send(address, status);
        }
    }
}

void core_node::end_leading(std::string_view reason)
{
    if (m_dispatcher)
    {
        log_event("leading_no_more", {}, {{"term", m_led_term}, {"reason", reason}});
        m_dispatcher.reset();
        m_advisor_queries.clear();
    }
}

// A leader whose disk rejects writes could commit only through the copies of other replicas, and its
// snapshots and votes would be delayed, so it transfers leadership until the disk recovers. It continues as a
// replica, as the others may need its copy.
void core_node::handle_disk_refusal(const storage_error& error)
{
    if (std::exchange(m_disk_refuses, true))
    {
        return; // logged once; the write is retried until it succeeds
    }
    replica& core = m_replica->group().core();
    const bool leads_now = core.role() == replica_role::leader;
    log_event("disk_refuses", {},
              {{"error", error.number()}, {"detail", error.detail}, {"hands_over", leads_now}});
    core.set_leadership_declined(true);
    boost::asio::post(m_loop,
                      [this, alive = m_alive]
                      {
                          if (*alive && m_disk_refuses)
                          {
                              m_replica->group().core().transfer_leadership(monotonic_now());
                              m_replica->pump();
                          }
                      });
}

// A refusal here leaves the log usable, so this process may go on leading.
void core_node::log_maintenance(const disk_report& report, const result<done, storage_error>& outcome)
{
    const char* work = report.kind == disk_work::snapshot ? "snapshot" : "rewrite";
    if (!ok(outcome))
    {
        log_event("disk_maintenance_refused", {},
                  {{"work", work},
                   {"error", error_of(outcome).number()},
                   {"detail", error_of(outcome).detail},
                   {"log_bytes", report.log_bytes}});
        return;
    }
    log_event("disk_maintained", {},
              {{"work", work}, {"log_bytes", report.log_bytes}, {"state_bytes", report.snapshot_bytes}});
}

void core_node::handle_disk_recovery()
{
    m_disk_refuses = false;
    log_event("disk_accepts", {}, {});
    m_replica->group().core().set_leadership_declined(m_stopping);
}

dispatch_hooks core_node::make_hooks()
{
    const auto no_poll = poll_answer{order_outcome::not_sent, {}, 0, {}, {}};
    const auto no_order = order_answer{order_outcome::not_sent, std::nullopt, false};
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
    // After a pause this process may have lost leadership, so each order checks it first.
    hooks.poll =
        [this, no_poll](const poll_order& order, const std::function<void(const poll_answer&)>& handler)
    {
        leads(monotonic_now()) ? m_platform_hooks.poll(order, handler) : handler(no_poll);
    };
    hooks.start = [this, no_order](const start_task_order& order,
                                   const std::function<void(const order_answer&)>& handler)
    {
        leads(monotonic_now()) ? m_platform_hooks.start(order, handler) : handler(no_order);
    };
    hooks.stop = [this, no_order](const stop_task_order& order,
                                  const std::function<void(const order_answer&)>& handler)
    {
        leads(monotonic_now()) ? m_platform_hooks.stop(order, handler) : handler(no_order);
    };
    hooks.pace = [this, no_order](const pace_task_order& order,
                                  const std::function<void(const order_answer&)>& handler)
    {
        leads(monotonic_now()) ? m_platform_hooks.pace(order, handler) : handler(no_order);
    };
    hooks.order_maintenance = [this, no_order](const std::string& host, std::uint64_t wave,
                                               std::uint64_t fence,
                                               const std::function<void(const order_answer&)>& handler)
    {
        leads(monotonic_now()) ? m_platform_hooks.order_maintenance(host, wave, fence, handler)
                               : handler(no_order);
    };
    hooks.advise = [this](const advice_question& question, bool urgent,
                          const std::function<void(const advice_answer&)>& handler)
    {
        const monotonic_time asked = monotonic_now();
        m_advisor_queries.enqueue(
            question, urgent,
            [this, asked, handler](const advice_answer& answer)
            {
                m_advisor_query_times.observe({answer.answered ? "yes" : "no"}, monotonic_now() - asked);
                handler(answer);
            },
            asked);
    };
    hooks.advisors_free = [this]
    {
        return m_advisor_queries.normal_waiting() < max_queued_normal_queries;
    };
    hooks.advisors_idle = [this]
    {
        return m_advisor_queries.mostly_idle(monotonic_now());
    };
    hooks.planned = [this](const std::string& queue, duration waited)
    {
        m_start_waits.observe({queue}, waited);
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
    schedule_pass(m_last_pass + m_core_settings.min_pass_interval);
}

// Schedules the next pass and cancels a pending one.
void core_node::schedule_pass(monotonic_time when)
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
        schedule_pass(m_dispatcher->next_pass(now));
    }
}

} // namespace walkthread
