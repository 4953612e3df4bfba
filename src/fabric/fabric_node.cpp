#include <walkthread/fabric/fabric_node.hpp>

#include <walkthread/node/clock.hpp>
#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
constexpr milliseconds tick_interval{150};        // the shortest query interval in `leader_watch_settings`
constexpr milliseconds min_logged_suspension{50}; // shorter ones affect no lease or timeout
constexpr milliseconds path_check_interval{50};
constexpr milliseconds relayed_call_timeout{2000}; // the process that relays sends its call again by itself
} // namespace

fabric_node::fabric_node(boost::asio::io_context& loop, fabric_settings settings, platform_hooks hooks,
                         decision_log& log)
    : m_loop(loop), m_settings(std::move(settings)), m_platform_hooks(std::move(hooks)), m_log(log),
      m_mesh(
          loop, peer_greeting{m_settings.peer_address, m_settings.name, !m_settings.data_folder.empty()},
          [this](const std::string& from, mesh_message message)
          {
              receive(from, std::move(message));
          },
          [this](const std::string& to, bool up, const std::string& reason)
          {
              log_event(up ? "peer_connected" : "peer_lost", {}, {{"peer", to}, {"reason", reason}});
          },
          m_settings.max_links),
      m_router(loop, m_mesh,
               [this](const service_call& body, const call_handler& handler)
               {
                   return handle_locally(body, handler);
               }),
      m_watch(m_settings.seeds, leader_watch_settings{}), m_timer(loop), m_path_timer(loop),
      m_suspended(total_suspended_time())
{
}

fabric_node::~fabric_node()
{
    *m_alive = false;
}

std::string fabric_node::start()
{
    std::string failed = m_mesh.open(m_settings.bind_address);
    if (failed.empty())
    {
        tick();
    }
    return failed;
}

void fabric_node::log_event(std::string_view event, std::string_view subject,
                            std::initializer_list<log_field> fields)
{
    m_log.write(monotonic_now(), wall_now(), event, subject, fields);
}

void fabric_node::call(service_call body, milliseconds timeout, call_handler handler)
{
    if (auto reply = try_answer_locally(body, monotonic_now()))
    {
        handler(std::move(*reply));
        return;
    }
    m_router.call(std::move(body), timeout, std::move(handler));
    arm_path_check();
}

bool fabric_node::connected() const
{
    return !m_router.leader().empty() && !m_router.isolated();
}

void fabric_node::add_seeds(const std::vector<std::string>& seeds)
{
    m_watch.add_seeds(seeds);
}

void fabric_node::fill(metrics_page& page) const
{
    page.add_gauge("walkthread_calls_waiting", "Calls to the leader without an answer yet.",
                   static_cast<double>(m_router.waiting()));
    page.add_count("walkthread_peer_sent_bytes_total", "Bytes sent to other processes.",
                   static_cast<double>(m_mesh.bytes_sent()));
    page.add_count("walkthread_peer_messages_dropped_total", "Messages dropped as a link's queue was full.",
                   static_cast<double>(m_mesh.messages_dropped()));
    page.add_count("walkthread_peer_links_displaced_total",
                   "Connections to or from processes closed as there were too many.",
                   static_cast<double>(m_mesh.links_displaced()));
    page.add(m_mesh.counts().collect());
    page.add_count("walkthread_log_lines_dropped_total", "Log lines dropped for their rate.",
                   static_cast<double>(m_log.dropped()));
    page.add_count("walkthread_leader_changes_total", "Leaders and terms that this process came to follow.",
                   static_cast<double>(m_leader_changes));
    page.add_gauge("walkthread_leader_known", "1 if a leader is known and answers.", connected() ? 1 : 0);
    page.add_count("walkthread_replies_ignored_total", "Replies that ended no call of this process.",
                   static_cast<double>(m_ignored_replies));
    page.add_count("walkthread_replies_foreign_total",
                   "Ignored replies to a call of a former process, or from a process that was not called.",
                   static_cast<double>(m_foreign_replies));
    page.add_count("walkthread_rejections_uncertain_total",
                   "Calls with an unknown outcome as one copy was rejected and another has no reply.",
                   static_cast<double>(m_router.uncertain_rejections()));
    page.add(m_router.outages().collect());
}

// Logs a suspension of the machine, which explains why a healthy process lost its leases and timed out calls.
void fabric_node::log_suspension()
{
    const duration so_far = total_suspended_time();
    if (so_far - m_suspended > min_logged_suspension)
    {
        log_event("machine_suspended", {}, {{"for_ms", so_far - m_suspended}});
    }
    m_suspended = so_far;
}

void fabric_node::tick()
{
    log_suspension();
    query_leader(monotonic_now());
    m_timer.expires_after(tick_interval);
    m_timer.async_wait(
        [this, alive = m_alive](boost::system::error_code cancelled)
        {
            if (*alive && !cancelled)
            {
                tick();
            }
        });
}

void fabric_node::query_leader(monotonic_time now)
{
    const std::vector<std::string> peers = m_watch.peers_to_query(now);
    for (const std::string& peer : peers)
    {
        m_mesh.send(peer, leader_query{static_cast<bool>(m_platform_hooks.ask_advisor),
                                       m_path.needs_probe_peers(now)});
    }
    if (!peers.empty())
    {
        arm_path_check();
    }
    follow(m_watch.leader());
}

// ---------------------------------------------------------------------------------------------------------
// The path to the leader, for processes without a replica
// ---------------------------------------------------------------------------------------------------------

void fabric_node::arm_path_check()
{
    if (!m_settings.data_folder.empty())
    {
        return;
    }
    m_path.expect_answer(monotonic_now());
    if (m_path_check_due)
    {
        return;
    }
    m_path_check_due = true;
    m_path_timer.expires_after(path_check_interval);
    m_path_timer.async_wait(
        [this, alive = m_alive](boost::system::error_code cancelled)
        {
            if (*alive && !cancelled)
            {
                m_path_check_due = false;
                check_leader_path(monotonic_now());
            }
        });
}

void fabric_node::check_leader_path(monotonic_time now)
{
    if (!m_path.is_waiting())
    {
        return;
    }
    const std::vector<std::string> peers = m_path.peers_to_probe(now);
    for (const std::string& peer : peers)
    {
        m_mesh.send(peer, leader_query{});
    }
    if (!peers.empty() && !m_watch.leader().empty())
    {
        m_mesh.send(m_watch.leader(), leader_query{static_cast<bool>(m_platform_hooks.ask_advisor), false});
    }
    route_calls(m_watch.leader(), now);
    arm_path_check();
}

// Directs calls to the leader, or to the process that relays them.
void fabric_node::route_calls(const std::string& leader, monotonic_time now)
{
    const std::string relay = m_path.relay(now);
    const bool isolated = m_path.is_isolated(now);
    if (relay != m_logged_relay || isolated != m_router.isolated())
    {
        log_event("path_changed", {},
                  {{"relay", relay}, {"isolated", isolated}, {"calls_waiting", m_router.waiting()}});
        m_logged_relay = relay;
    }
    m_router.set_isolated(isolated);
    m_router.set_leader(relay.empty() ? leader : relay);
}

// Another process without a replica probes whether this one hears the leader.
void fabric_node::answer_probe(const std::string& from, monotonic_time now)
{
    leader_status status;
    status.leader = m_watch.leader();
    status.term = m_watch.term();
    const std::optional<duration> silent = m_watch.silent_for(now);
    status.leader_silent_ms =
        silent ? std::chrono::duration_cast<milliseconds>(*silent).count() : std::int64_t{-1};
    m_mesh.send(from, status);
}

void fabric_node::record_sender(const std::string& from, const mesh_message& message, monotonic_time now)
{
    m_path.record_message(now);
    const auto* status = std::get_if<leader_status>(&message);
    if (from == m_watch.leader() || (status != nullptr && status->leads))
    {
        m_path.record_leader_contact();
    }
    if (status != nullptr)
    {
        m_path.set_probe_peers(status->probe_peers, now);
        m_path.record_probe_answer(from,
                                   status->leader_silent_ms < 0
                                       ? std::nullopt
                                       : std::optional<duration>(milliseconds(status->leader_silent_ms)),
                                   now);
    }
}

void fabric_node::follow(const std::string& leader)
{
    route_calls(leader, monotonic_now());
    const std::uint64_t term = known_term();
    if (leader == m_logged_leader && (leader.empty() || term == m_logged_term))
    {
        return;
    }
    const std::string_view event = leader.empty()            ? "leader_lost"
                                   : m_logged_leader.empty() ? "leader_found"
                                                             : "leader_changed";
    log_event(
        event, {},
        {{"leader", leader}, {"before", m_logged_leader}, {"term", term}, {"term_before", m_logged_term}});
    m_logged_leader = leader;
    m_logged_term = term;
    m_leader_changes += leader.empty() ? 0 : 1;
}

void fabric_node::receive(const std::string& from, mesh_message message)
{
    const monotonic_time now = monotonic_now();
    record_sender(from, message, now);
    if (auto* status = std::get_if<leader_status>(&message))
    {
        if (status->limits.version > m_caller_limits.version)
        {
            m_caller_limits = status->limits;
        }
        m_watch.receive(from, *status, now);
        query_leader(now);
    }
    else if (std::holds_alternative<leader_query>(message))
    {
        answer_probe(from, now);
    }
    else if (auto* reply = std::get_if<reply_message>(&message))
    {
        record_ignored_reply(from, m_router.handle_reply(from, std::move(*reply)));
    }
    else if (auto* call = std::get_if<call_message>(&message))
    {
        answer_call(from, *call);
    }
}

// Replies to calls that have timed out are ordinary and only counted. The others would end a call that they
// do not answer.
void fabric_node::record_ignored_reply(const std::string& from, reply_match match)
{
    if (match == reply_match::pending)
    {
        return;
    }
    ++m_ignored_replies;
    if (match != reply_match::not_pending)
    {
        ++m_foreign_replies;
        log_event("reply_ignored", {},
                  {{"peer", from},
                   {"reason", match == reply_match::former_process ? "call of a former process"
                                                                   : "call not sent to this peer"}});
    }
}

void fabric_node::answer_call(const std::string& from, const call_message& message)
{
    auto body = decode<service_call>(message.body);
    const auto answer =
        [this, alive = m_alive, from, number = message.number, caller = message.caller](service_reply reply)
    {
        if (*alive)
        {
            m_mesh.send(from, reply_message{number, std::move(reply), caller});
        }
    };
    if (!ok(body))
    {
        answer(make_reply(reply_kind::refused, error_of(body).detail));
        return;
    }
    const bool relays =
        m_settings.data_folder.empty() && !std::holds_alternative<advise_call>(value_of(body));
    if (relays)
    {
        relay_call(std::move(value_of(body)), answer);
        return;
    }
    handle_locally(value_of(body), answer);
}

// Sends a call on to the leader for a process that does not reach it. Only over a direct path, so that calls
// do not go in circles.
void fabric_node::relay_call(service_call body, const call_handler& answer)
{
    if (m_watch.leader().empty() || m_router.leader() != m_watch.leader() || m_router.isolated())
    {
        answer(make_reply(reply_kind::not_leading));
        return;
    }
    m_router.call(std::move(body), relayed_call_timeout, answer);
}

bool fabric_node::handle_locally(const service_call& body, const call_handler& handler)
{
    const auto* question = std::get_if<advise_call>(&body);
    if (question == nullptr || !m_platform_hooks.ask_advisor)
    {
        handler(make_reply(reply_kind::not_leading));
        return false;
    }
    m_platform_hooks.ask_advisor(
        question->question,
        [handler, began = monotonic_now()](const advice_answer& answer)
        {
            service_reply reply = make_reply(reply_kind::done);
            reply.advice = answer;
            reply.advice.took_ms = std::chrono::duration_cast<milliseconds>(monotonic_now() - began).count();
            handler(std::move(reply));
        });
    return true;
}

} // namespace walkthread
