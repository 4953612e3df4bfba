#include <walkthread/node/core.hpp>

#include <algorithm>

#include <walkthread/node/clock.hpp>
#include <walkthread/node/documents.hpp>
#include <walkthread/wire/codec.hpp>

namespace walkthread
{

namespace
{
constexpr int max_flush_rounds = 8;
constexpr milliseconds leadership_transfer_timeout{1500};
constexpr milliseconds leadership_transfer_poll_interval{20};
} // namespace

process_core::process_core(const settings& config, data_folder* folder, timeline& events, metrics& counters)
    : m_settings(config), m_folder(folder), m_events(events), m_metrics(counters), m_log(make_logger("core")),
      m_network(config, folder != nullptr ? folder->identity().incarnation : incarnation_id{1}, events,
                counters,
                [this](node_id from, peer_message message)
                {
                    receive(from, std::move(message));
                })
{
}

process_core::~process_core()
{
    stop();
}

replicated_group& process_core::add_group(group_id id, state_machine_hooks hooks, group_callbacks callbacks)
{
    replica_settings timing;
    timing.heartbeat = m_settings.timing.heartbeat;
    timing.election_timeout = m_settings.timing.election;
    timing.max_election_timeout = m_settings.timing.election;
    timing.vote_timeout = m_settings.timing.election;
    replica_start start = m_folder->take_recovered_state(id);
    if (!start.base.data.empty() && !hooks.load(start.base.data))
    {
        fail({storage_code::damaged, "A stored snapshot could not be loaded."});
    }
    const replica_id self{m_settings.node, m_folder->identity().incarnation};
    const std::uint64_t seed =
        self.incarnation.value() * 31 + std::uint64_t{self.node.value()} * 7919U + id.value();
    replica core(id, self, timing, std::move(start), seed, monotonic_now());
    owned_group& owned = m_groups[id];
    owned.group = std::make_unique<replicated_group>(id, std::move(core), std::move(hooks));
    owned.callbacks = std::move(callbacks);
    return *owned.group;
}

void process_core::add_ticker(std::function<void(monotonic_time, wall_ms)> ticker)
{
    m_tickers.push_back(std::move(ticker));
}

void process_core::on_change_notice(std::function<void(group_id)> handler)
{
    m_on_change_notice = std::move(handler);
}

void process_core::on_local_call(std::function<reply_body(const call_body&)> handler)
{
    m_on_local_call = std::move(handler);
}

bool process_core::start()
{
    if (m_failed || !m_network.start())
    {
        return false;
    }
    m_thread = std::thread(
        [this]
        {
            loop();
        });
    return true;
}

void process_core::stop()
{
    if (!m_thread.joinable())
    {
        return;
    }
    const auto leads_any = [this]
    {
        return std::any_of(m_groups.begin(), m_groups.end(),
                           [](const auto& item)
                           {
                               return item.second.group->core().role() == replica_role::leader;
                           });
    };
    const monotonic_time transfer_deadline = monotonic_now() + leadership_transfer_timeout;
    bool led = true;
    while (led && !m_failed && monotonic_now() < transfer_deadline)
    {
        led = run<bool>(
            [this, &leads_any]
            {
                for (auto& [id, owned] : m_groups)
                {
                    owned.group->core().set_leadership_declined();
                    owned.group->core().transfer_leadership(monotonic_now());
                }
                return leads_any();
            });
        std::this_thread::sleep_for(leadership_transfer_poll_interval);
    }
    m_stopping = true;
    m_wake.notify_all();
    m_thread.join();
    m_network.stop();
}

void process_core::post(std::function<void()> work)
{
    const std::scoped_lock lock(m_mutex);
    m_work.push_back(std::move(work));
    m_wake.notify_one();
}

// ---------------------------------------------------------------------------------------------------------
// Main loop
// ---------------------------------------------------------------------------------------------------------

void process_core::loop()
{
    monotonic_time next_tick = monotonic_now();
    while (!m_stopping)
    {
        std::vector<std::function<void()>> work;
        {
            std::unique_lock lock(m_mutex);
            const auto wait = std::max(next_tick - monotonic_now(), duration{0});
            m_wake.wait_for(lock, wait,
                            [this]
                            {
                                return m_stopping || !m_work.empty();
                            });
            work.swap(m_work);
        }
        for (const auto& item : work)
        {
            item();
        }
        const monotonic_time now = monotonic_now();
        if (now >= next_tick)
        {
            run_tick(now);
            next_tick = now + m_settings.timing.tick;
        }
        flush(monotonic_now());
    }
}

void process_core::run_tick(monotonic_time now)
{
    int led = 0;
    for (auto& [id, owned] : m_groups)
    {
        owned.group->core().tick(now);
        update_leadership(owned);
        led += owned.led ? 1 : 0;
        owned.callbacks.tick(now, wall_now());
    }
    for (const auto& ticker : m_tickers)
    {
        ticker(now, wall_now());
    }
    m_metrics.groups_led.Set(led);
    retry_calls(now);
}

void process_core::update_leadership(owned_group& owned)
{
    const bool leads_now = owned.group->core().role() == replica_role::leader;
    if (leads_now && !owned.led)
    {
        const std::string text = "Group " + std::to_string(owned.group->id().value()) + " is led by node " +
                                 std::to_string(m_settings.node.value()) + " in term " +
                                 std::to_string(owned.group->core().term().value()) + '.';
        m_log->info(text);
        timeline_event event;
        event.kind = static_cast<std::uint8_t>(event_kind::leader_elected);
        event.text = text;
        m_events.add(std::move(event), wall_now());
    }
    owned.led = leads_now;
}

// Syncs, sends and applies until no group has output left, or the maximum number of rounds is reached.
void process_core::flush(monotonic_time now)
{
    for (int round = 0; round < max_flush_rounds && !m_failed && flush_once(now); ++round)
    {
    }
    store_snapshots();
    for (const group_id group : std::exchange(m_groups_to_notify, {}))
    {
        for (const peer_settings& peer : m_settings.peers)
        {
            m_network.send(peer.node, change_notice{group});
        }
        m_on_change_notice(group);
    }
}

bool process_core::flush_once(monotonic_time now)
{
    std::vector<std::pair<owned_group*, replica_output>> outputs;
    bool sync = false;
    for (auto& [id, owned] : m_groups)
    {
        replica_output output = owned.group->core().take_output(now);
        if (output.needs_sync())
        {
            m_folder->add(id, output);
            sync = true;
        }
        outputs.emplace_back(&owned, std::move(output));
    }
    if (sync)
    {
        const auto synced = m_folder->sync();
        m_metrics.log_syncs.Increment();
        if (!ok(synced))
        {
            fail(error_of(synced));
            return false;
        }
    }
    bool more = false;
    for (auto& [owned, output] : outputs)
    {
        for (const replica_envelope& envelope : output.messages)
        {
            m_network.send(envelope.to.node, replica_frame{envelope.group, envelope.from, envelope.to,
                                                           encode(envelope.message)});
        }
        owned->group->core().synced(monotonic_now());
        const bool applied = owned->group->apply(output) > 0 || output.install.has_value();
        if (applied)
        {
            owned->callbacks.applied();
        }
        more = more || applied || output.needs_sync();
    }
    return more;
}

void process_core::store_snapshots()
{
    for (auto& [id, owned] : m_groups)
    {
        if (m_failed || !owned.group->core().snapshot_due())
        {
            continue;
        }
        const snapshot made = owned.group->make_snapshot();
        const auto stored = m_folder->store_snapshot(id, made);
        if (!ok(stored))
        {
            fail(error_of(stored));
            continue;
        }
        owned.group->core().compact(made);
    }
    if (m_failed || m_folder == nullptr || !m_folder->rewrite_due())
    {
        return;
    }
    std::map<group_id, replica_start> live;
    for (auto& [id, owned] : m_groups)
    {
        auto retained = owned.group->retained_state(m_folder->stored_snapshot(id));
        if (!retained)
        {
            return;
        }
        live[id] = std::move(*retained);
    }
    const auto rewritten = m_folder->rewrite(live);
    if (!ok(rewritten))
    {
        fail(error_of(rewritten));
    }
}

void process_core::fail(const storage_error& error)
{
    m_log->error("Storage error {}: {} Shutting down.", error.number(), error.detail);
    m_failed = true;
}

replicated_group* process_core::find_group(group_id id)
{
    const auto found = m_groups.find(id);
    return found == m_groups.end() ? nullptr : found->second.group.get();
}

bool process_core::leads(group_id id, monotonic_time now)
{
    replicated_group* group = find_group(id);
    return group != nullptr && group->leads(now);
}

void process_core::notify_peers(group_id group)
{
    if (std::find(m_groups_to_notify.begin(), m_groups_to_notify.end(), group) == m_groups_to_notify.end())
    {
        m_groups_to_notify.push_back(group);
    }
}

// ---------------------------------------------------------------------------------------------------------
// Frames from peers
// ---------------------------------------------------------------------------------------------------------

void process_core::receive(node_id from, peer_message message)
{
    post(
        [this, from, message = std::move(message)]
        {
            if (const auto* consensus = std::get_if<replica_frame>(&message))
            {
                handle_frame(from, *consensus);
            }
            else if (const auto* call = std::get_if<call_frame>(&message))
            {
                handle_frame(from, *call);
            }
            else if (const auto* reply = std::get_if<reply_frame>(&message))
            {
                handle_frame(*reply);
            }
            else if (const auto* notice = std::get_if<change_notice>(&message))
            {
                m_on_change_notice(notice->group);
            }
        });
}

void process_core::handle_frame(node_id from, const replica_frame& frame)
{
    replicated_group* group = find_group(frame.group);
    auto message = decode<replica_message>(frame.message);
    if (group == nullptr || !ok(message) || frame.from.node != from)
    {
        return;
    }
    group->core().receive(replica_envelope{frame.group, frame.from, frame.to, std::move(value_of(message))},
                          monotonic_now());
}

void process_core::handle_frame(node_id from, const call_frame& frame)
{
    auto body = decode<call_body>(frame.body);
    const reply_handler answer = [this, from, id = frame.id](const reply_body& reply)
    {
        m_network.send(from, reply_frame{id, encode(reply)});
    };
    if (!ok(body))
    {
        answer(call_error_reply{{}, error_of(body).number(), error_of(body).detail});
        return;
    }
    handle_locally(frame.group, value_of(body), answer);
}

void process_core::handle_locally(group_id group, const call_body& body, const reply_handler& handler)
{
    if (std::holds_alternative<timeline_call>(body))
    {
        handler(m_on_local_call(body));
        return;
    }
    const auto found = m_groups.find(group);
    const auto* query = std::get_if<query_call>(&body);
    if (found != m_groups.end() && query != nullptr &&
        query->kind == static_cast<std::uint8_t>(query_kind::group))
    {
        handler(document_reply{group_document(found->second.group->core())});
        return;
    }
    if (found == m_groups.end() || !leads(group, monotonic_now()))
    {
        const node_id leader =
            found == m_groups.end() ? node_id{} : found->second.group->core().leader().node;
        handler(call_error_reply{leader, static_cast<int>(node_code::not_leader),
                                 "This process is not the leader of the group."});
        return;
    }
    if (const auto* change = std::get_if<members_call>(&body))
    {
        change_members(group, *change, handler);
        return;
    }
    found->second.callbacks.handle(body, handler);
}

void process_core::change_members(group_id group, const members_call& change, const reply_handler& handler)
{
    replica& core = m_groups.at(group).group->core();
    const monotonic_time now = monotonic_now();
    learner new_learner = change.add;
    for (const replica_id& voter : core.members().voters)
    {
        const bool former_incarnation =
            voter.node == new_learner.id.node && voter.incarnation != new_learner.id.incarnation;
        new_learner.replaces = former_incarnation ? voter : new_learner.replaces;
    }
    const bool known = core.members().is_member(new_learner.id);
    const auto change_result = new_learner.id.node.value() != 0 ? core.add_learner(new_learner, now)
                                                                : core.remove_member(change.remove, now);
    if (ok(change_result))
    {
        handler(done_reply{!known});
        return;
    }
    handler(
        call_error_reply{{}, static_cast<int>(node_code::change_pending), error_of(change_result).detail});
}
} // namespace walkthread
