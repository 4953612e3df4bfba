// Conversion of states to JSON.

#include <walkthread/node/documents.hpp>

#include <algorithm>

#include <nlohmann/json.hpp>

namespace walkthread
{

using nlohmann::json;

namespace
{
const char* display_name(task_phase phase)
{
    switch (phase)
    {
    case task_phase::pending:
        return "waiting";
    case task_phase::placed:
        return "starting";
    case task_phase::running:
        return "running";
    case task_phase::stopping:
        return "stopping";
    case task_phase::ended:
        return "ended";
    }
    return "?";
}

const char* display_name(stop_reason reason)
{
    switch (reason)
    {
    case stop_reason::none:
        return "none";
    case stop_reason::cancelled:
        return "its configuration was changed or withdrawn, or its job was cancelled";
    case stop_reason::preempted:
        return "preempted by urgent work or by an organisation below its share";
    case stop_reason::drained:
        return "its host is being drained";
    case stop_reason::gang:
        return "another task of its gang was lost";
    case stop_reason::overused:
        return "it exceeded its declared resources although throttled";
    }
    return "?";
}

const char* display_name(worker_phase phase)
{
    switch (phase)
    {
    case worker_phase::live:
        return "live";
    case worker_phase::draining:
        return "draining";
    case worker_phase::quarantined:
        return "quarantined";
    case worker_phase::probing:
        return "probing";
    case worker_phase::lost:
        return "lost";
    }
    return "?";
}

const char* display_name(replica_role role)
{
    switch (role)
    {
    case replica_role::follower:
        return "follower";
    case replica_role::pre_candidate:
    case replica_role::candidate:
        return "candidate";
    case replica_role::leader:
        return "leader";
    }
    return "?";
}

json to_json(const resources& r)
{
    return {{"cpu_millicores", r.cpu},
            {"memory_mib", r.memory},
            {"accelerators", r.accelerators},
            {"slots", r.slots}};
}

json to_json(const parameters& p)
{
    json halls = json::array();
    for (const hall_id hall : p.halls)
    {
        halls.push_back(hall.value());
    }
    return {{"cpu_millicores", p.size.cpu},
            {"memory_mib", p.size.memory},
            {"accelerators", p.size.accelerators},
            {"tasks", p.tasks},
            {"urgency", p.urgency},
            {"run_seconds", p.run_seconds},
            {"halls", halls}};
}

json to_json(const configuration& c)
{
    json jobs = json::array();
    for (const job_id job : c.jobs)
    {
        jobs.push_back(job.value());
    }
    return {{"name", c.name},
            {"template", c.template_name},
            {"team", c.team},
            {"version", c.version.value()},
            {"withdrawn", c.withdrawn},
            {"parameters", to_json(c.values)},
            {"jobs", jobs}};
}

json to_json(const replica_id& id)
{
    return {{"node", id.node.value()}, {"incarnation", std::to_string(id.incarnation.value())}};
}

json to_json(const task_record& task, std::uint32_t index)
{
    json out{{"task", index}, {"state", display_name(task.state())}, {"run", task.run}};
    if (task.on_host())
    {
        out["host"] = task.worker.value();
    }
    if (task.reason != 0)
    {
        out["stopped_because"] = display_name(static_cast<stop_reason>(task.reason));
    }
    return out;
}

json summary_of(const hall_job& job)
{
    return {{"job", job.spec.id.value()},
            {"configuration", job.spec.name},
            {"version", job.spec.version.value()},
            {"kind", to_string(job.spec.workload())},
            {"waiting", job.pending},
            {"on_hosts", job.on_hosts},
            {"ended", job.ended},
            {"cancelled", job.cancelled},
            {"held", job.held()},
            {"outcome", to_string(static_cast<job_outcome>(job.outcome))}};
}

bool visible_to(const hall_job& job, organisation_id organisation)
{
    return organisation.value() == 0 || job.spec.organisation == organisation;
}

json explain(const hall_job& job, const hall_state& state, std::optional<wait_reason> reason)
{
    json out = summary_of(job);
    out["hall"] = state.hall().value();
    out["submitted_ms"] = job.spec.submitted;
    out["first_start_ms"] = job.first_start;
    out["declared_run_ms"] = job.spec.values.run_seconds * 1000;
    out["expected_run_ms"] = state.estimate_of(job.spec.from).predict_ms(job.spec.values.run_seconds);
    out["waits_because"] = reason && state.cordon() ? "Its hall is cordoned."
                           : reason                 ? to_string(*reason)
                                                    : "It does not wait.";
    json tasks = json::array();
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
    {
        tasks.push_back(to_json(job.tasks[i], i));
    }
    out["tasks"] = std::move(tasks);
    return out;
}
} // namespace

std::string hall_document(const query_call& query, const hall_state& state, std::optional<wait_reason> reason,
                          const replica& core)
{
    json out = json::array();
    switch (static_cast<query_kind>(query.kind))
    {
    case query_kind::jobs:
        for (const auto& [id, job] : state.jobs())
        {
            if (visible_to(job, query.organisation))
            {
                out.push_back(summary_of(job));
            }
        }
        break;
    case query_kind::explain:
    {
        const auto found = state.jobs().find(query.job);
        out = json::object();
        if (found != state.jobs().end() && visible_to(found->second, query.organisation))
        {
            out = explain(found->second, state, reason);
        }
        break;
    }
    case query_kind::hosts:
        for (const auto& [id, worker] : state.workers())
        {
            out.push_back({{"host", id.value()},
                           {"hall", state.hall().value()},
                           {"rack", worker.rack.value()},
                           {"address", worker.address},
                           {"state", worker.draining   ? "draining"
                                     : worker.cordoned ? "cordoned"
                                                       : display_name(worker.state())},
                           {"size", to_json(worker.size)},
                           {"reserved", to_json(worker.reserved)},
                           {"tasks", worker.tasks.size()}});
        }
        break;
    case query_kind::cordon:
        out = json{{"hall", state.hall().value()}, {"cordoned", state.cordon().has_value()}};
        if (state.cordon())
        {
            out["since_ms"] = state.cordon()->since;
            out["requested_by"] = state.cordon()->requested_by;
        }
        break;
    default:
        return group_document(core);
    }
    return out.dump();
}

std::string group_document(const replica& core)
{
    json voters = json::array();
    for (const replica_id& voter : core.members().voters)
    {
        json item = to_json(voter);
        const auto lag = core.lag_of(voter);
        item["behind"] = lag ? json(*lag) : json(0);
        voters.push_back(std::move(item));
    }
    json learners = json::array();
    for (const learner& item : core.members().learners)
    {
        learners.push_back(to_json(item.id));
    }
    return json{{"role", display_name(core.role())},
                {"leader", core.leader().node.value()},
                {"term", core.term().value()},
                {"committed", core.commit_index().value()},
                {"voters", voters},
                {"learners", learners}}
        .dump();
}

namespace
{
std::string configurations_document(const root_state& state, organisation_id organisation)
{
    json out = json::array();
    for (const auto& [key, config] : state.configurations())
    {
        if (key.first == organisation)
        {
            out.push_back(to_json(config));
        }
    }
    return out.dump();
}

std::string configuration_document(const root_state& state, organisation_id organisation,
                                   const std::string& name)
{
    const auto found = state.configurations().find({organisation, name});
    return found == state.configurations().end() ? std::string{} : to_json(found->second).dump();
}

std::string templates_document(const root_state& state, organisation_id organisation)
{
    json out = json::array();
    for (const auto& [key, stored_template] : state.templates())
    {
        if (key.first == organisation)
        {
            out.push_back({{"name", stored_template.name},
                           {"kind", to_string(stored_template.workload())},
                           {"repeatable", stored_template.repeatable},
                           {"version", stored_template.version.value()},
                           {"defaults", to_json(stored_template.defaults)},
                           {"limits", to_json(stored_template.limits)}});
        }
    }
    return out.dump();
}

std::string jobs_document(const root_state& state, organisation_id organisation)
{
    json out = json::array();
    for (const auto* jobs : {&state.jobs(), &state.ended_jobs()})
    {
        for (const auto& [id, job] : *jobs)
        {
            if (job.spec.organisation != organisation)
            {
                continue;
            }
            json halls = json::array();
            for (const hall_part& part : job.spec.parts)
            {
                halls.push_back(part.hall.value());
            }
            const bool has_ended = jobs == &state.ended_jobs();
            const auto outcome = has_ended ? static_cast<job_outcome>(job.outcome) : job_outcome::running;
            out.push_back({{"job", id.value()},
                           {"configuration", job.spec.name},
                           {"version", job.spec.version.value()},
                           {"kind", to_string(job.spec.workload())},
                           {"halls", halls},
                           {"cancelled", job.cancelled},
                           {"outcome", to_string(outcome)}});
        }
    }
    return out.dump();
}

std::string teams_document(const root_state& state, organisation_id organisation)
{
    json out = json::array();
    for (const auto& [key, team] : state.teams())
    {
        if (key.first == organisation)
        {
            out.push_back({{"name", key.second}, {"quota", to_json(team.quota)}});
        }
    }
    return out.dump();
}
} // namespace

std::string root_document(const query_call& query, const root_state& state)
{
    switch (static_cast<query_kind>(query.kind))
    {
    case query_kind::configurations:
        return configurations_document(state, query.organisation);
    case query_kind::configuration:
        return configuration_document(state, query.organisation, query.name);
    case query_kind::templates:
        return templates_document(state, query.organisation);
    case query_kind::all_jobs:
        return jobs_document(state, query.organisation);
    case query_kind::teams:
        return teams_document(state, query.organisation);
    default:
        return {};
    }
}

std::string timeline_document(std::vector<timeline_event> events)
{
    const auto earlier = [](const timeline_event& a, const timeline_event& b)
    {
        return a.stamp < b.stamp;
    };
    std::stable_sort(events.begin(), events.end(), earlier);
    json out = json::array();
    for (const timeline_event& event : events)
    {
        constexpr unsigned counter_bits = 16;
        out.push_back({{"stamp", event.stamp.value()},
                       {"at_ms", event.stamp.value() >> counter_bits},
                       {"node", event.node.value()},
                       {"event", to_string(static_cast<event_kind>(event.kind))},
                       {"job", event.job.value()},
                       {"host", event.worker.value()},
                       {"request", std::to_string(event.request.value())},
                       {"text", event.text}});
    }
    return out.dump();
}

std::string result_document(const root_result& answer)
{
    json jobs = json::array();
    for (const job_id job : answer.jobs)
    {
        jobs.push_back(job.value());
    }
    return json{{"version", answer.version.value()}, {"jobs", jobs}}.dump();
}

std::string error_document(int code, std::string_view detail)
{
    return json{{"error", {{"code", code}, {"detail", detail}}}}.dump(-1, ' ', false,
                                                                      json::error_handler_t::replace);
}

std::string renewal_document(const renew_reply& reply)
{
    json start = json::array();
    for (const start_order& order : reply.start)
    {
        start.push_back({{"run", to_string(order.run)},
                         {"configuration", order.name},
                         {"organisation", order.organisation},
                         {"kind", to_string(static_cast<workload_kind>(order.kind))},
                         {"size", to_json(order.size)},
                         {"run_seconds", order.run_seconds},
                         {"from_checkpoint", order.from_checkpoint}});
    }
    json halt = json::array();
    for (const halt_order& order : reply.halt)
    {
        halt.push_back({{"run", to_string(order.run)}, {"checkpoint", order.checkpoint}});
    }
    json throttle = json::array();
    for (const run_id& run : reply.throttle)
    {
        throttle.push_back(to_string(run));
    }
    json forget = json::array();
    for (const run_id& run : reply.forget)
    {
        forget.push_back(to_string(run));
    }
    json out{{"epoch", reply.epoch.value()}, {"lease_ms", reply.lease_ms}};
    const auto add = [&out](const char* key, json list)
    {
        if (!list.empty())
        {
            out[key] = std::move(list);
        }
    };
    if (reply.must_register)
    {
        out["register"] = true;
    }
    add("start", std::move(start));
    add("stop", std::move(halt));
    add("throttle", std::move(throttle));
    add("forget", std::move(forget));
    return out.dump();
}

} // namespace walkthread
