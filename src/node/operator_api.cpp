#include <walkthread/node/operator_api.hpp>

#include <charconv>

#include <nlohmann/json.hpp>

#include <walkthread/node/clock.hpp>
#include <walkthread/node/documents.hpp>
#include <walkthread/node/http_responses.hpp>
#include <walkthread/wire/codec.hpp>

#include "operator_responses.hpp"

namespace walkthread
{

namespace
{
const std::string name_pattern = "([A-Za-z0-9][A-Za-z0-9._-]{0,63})";

int status_of(int code)
{
    switch (static_cast<state_code>(code))
    {
    case state_code::version_conflict:
        return http_status::conflict;
    case state_code::unknown_name:
        return http_status::not_found;
    default:
        return http_status::unprocessable;
    }
}

std::uint64_t query_number(const std::map<std::string, std::string>& query, const std::string& key)
{
    const auto found = query.find(key);
    std::uint64_t out = 0;
    if (found != query.end())
    {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), out);
    }
    return out;
}
} // namespace

operator_api::operator_api(process_core& core, root_service& root, const std::atomic<bool>& healthy)
    : m_core(core), m_root(root), m_access(core.config()), m_healthy(healthy)
{
}

// ---------------------------------------------------------------------------------------------------------
// Routes
// ---------------------------------------------------------------------------------------------------------

http_handler operator_api::require_operator(organisation_handler handler)
{
    return [this, handler = std::move(handler)](const http_request& request)
    {
        const organisation_settings* organisation = m_access.operator_of(request.authorization);
        return organisation == nullptr ? error_response(http_status::unauthorised, node_code::unauthorised,
                                                        "The token is missing or wrong.")
                                       : handler(*organisation, request);
    };
}

http_handler operator_api::require_admin(plain_handler handler)
{
    return [this, handler = std::move(handler)](const http_request& request)
    {
        return m_access.is_admin(request.authorization)
                   ? handler(request)
                   : error_response(http_status::unauthorised, node_code::unauthorised,
                                    "The token is missing or wrong.");
    };
}

void operator_api::add_routes(http_server& server)
{
    add_health(server);
    server.get("/readyz",
               [this](const http_request&)
               {
                   return ready();
               });
    server.get("/metrics",
               [this](const http_request&)
               {
                   return ok_response(m_core.counters().text(), "text/plain; version=0.0.4");
               });
    add_configuration_routes(server);
    add_state_routes(server);
    add_admin_routes(server);
}

void operator_api::add_health(http_server& server)
{
    server.get("/healthz",
               [this](const http_request&)
               {
                   return m_healthy ? ok_response("{\"healthy\":true}")
                                    : error_response(http_status::unavailable, node_code::stopping,
                                                     "This process is shutting down.");
               });
}

void operator_api::add_configuration_routes(http_server& server)
{
    using organisation = const organisation_settings&;
    using what = const http_request&;
    server.put("/v1/templates/" + name_pattern, require_operator(
                                                    [this](organisation w, what r)
                                                    {
                                                        return put_template_of(w, r);
                                                    }));
    server.put("/v1/teams/" + name_pattern, require_operator(
                                                [this](organisation w, what r)
                                                {
                                                    return put_team_of(w, r);
                                                }));
    const std::string configuration = "/v1/configurations/" + name_pattern;
    server.put(configuration, require_operator(
                                  [this](organisation w, what r)
                                  {
                                      return put_configuration_of(w, r);
                                  }));
    server.erase(configuration, require_operator(
                                    [this](organisation w, what r)
                                    {
                                        return withdraw(w, r);
                                    }));
    server.post(configuration + "/runs", require_operator(
                                             [this](organisation w, what r)
                                             {
                                                 return rerun(w, r);
                                             }));
    server.post("/v1/jobs/cancel", require_operator(
                                       [this](organisation w, what r)
                                       {
                                           return cancel(w, r);
                                       }));
}

void operator_api::add_state_routes(http_server& server)
{
    using organisation = const organisation_settings&;
    using what = const http_request&;
    const auto add = [this, &server](const std::string& path, query_kind kind)
    {
        server.get(path, require_operator(
                             [this, kind](organisation w, what r)
                             {
                                 return read(w, kind, r);
                             }));
    };
    add("/v1/templates", query_kind::templates);
    add("/v1/teams", query_kind::teams);
    add("/v1/configurations", query_kind::configurations);
    add("/v1/configurations/" + name_pattern, query_kind::configuration);
    add("/v1/jobs", query_kind::all_jobs);
    server.get("/v1/jobs/([0-9]{1,18})/explain", require_operator(
                                                     [this](organisation w, what r)
                                                     {
                                                         return explain(w, r);
                                                     }));
    server.get("/v1/timeline",
               [this](what r)
               {
                   const organisation_settings* w = m_access.operator_of(r.authorization);
                   if (w == nullptr && !m_access.is_admin(r.authorization))
                   {
                       return error_response(http_status::unauthorised, node_code::unauthorised,
                                             "The token is missing or wrong.");
                   }
                   return timeline_for(w == nullptr ? organisation_id{} : w->id, r);
               });
}

// ---------------------------------------------------------------------------------------------------------
// Commands
// ---------------------------------------------------------------------------------------------------------

http_response operator_api::command(const organisation_settings& organisation, const root_command& command)
{
    const reply_body reply = m_core.call_and_wait(root_group, root_call{encode(command)}, command_timeout);
    const auto* answered = std::get_if<root_reply>(&reply);
    if (answered == nullptr)
    {
        m_core.counters().count_command(organisation.name, "unavailable");
        return call_error_response(reply);
    }
    const root_result& answer = answered->answer;
    m_core.counters().count_command(organisation.name, answer.code == 0 ? "accepted" : "refused");
    if (answer.code != 0)
    {
        http_response refused = error_response(status_of(answer.code), answer.code, answer.detail);
        refused.headers.emplace_back("X-Walkthread-Version", std::to_string(answer.version.value()));
        return refused;
    }
    return ok_response(result_document(answer));
}

http_response operator_api::put_template_of(const organisation_settings& organisation,
                                            const http_request& request)
{
    auto parsed = parse_template(m_core.config(), request.body);
    if (!ok(parsed))
    {
        return error_response(http_status::bad_request, node_code::bad_request, error_of(parsed));
    }
    value_of(parsed).organisation = organisation.id;
    value_of(parsed).content.name = request.parts[0];
    return command(organisation, value_of(parsed));
}

http_response operator_api::put_team_of(const organisation_settings& organisation,
                                        const http_request& request)
{
    auto parsed = parse_team(request.body);
    if (!ok(parsed))
    {
        return error_response(http_status::bad_request, node_code::bad_request, error_of(parsed));
    }
    value_of(parsed).organisation = organisation.id;
    value_of(parsed).name = request.parts[0];
    return command(organisation, value_of(parsed));
}

http_response operator_api::put_configuration_of(const organisation_settings& organisation,
                                                 const http_request& request)
{
    auto parsed = parse_configuration(m_core.config(), request.body);
    if (!ok(parsed))
    {
        return error_response(http_status::bad_request, node_code::bad_request, error_of(parsed));
    }
    value_of(parsed).organisation = organisation.id;
    value_of(parsed).name = request.parts[0];
    return command(organisation, value_of(parsed));
}

http_response operator_api::withdraw(const organisation_settings& organisation, const http_request& request)
{
    withdraw_configuration out;
    out.organisation = organisation.id;
    out.name = request.parts[0];
    out.request_id = query_text(request.query, "request_id");
    out.expected = version_id{query_number(request.query, "expected_version")};
    if (out.request_id.empty())
    {
        return error_response(http_status::bad_request, node_code::bad_request,
                              "Field 'request_id' is missing.");
    }
    return command(organisation, out);
}

http_response operator_api::rerun(const organisation_settings& organisation, const http_request& request)
{
    run_configuration out;
    out.organisation = organisation.id;
    out.name = request.parts[0];
    out.request_id = query_text(request.query, "request_id");
    if (out.request_id.empty())
    {
        return error_response(http_status::bad_request, node_code::bad_request,
                              "Field 'request_id' is missing.");
    }
    return command(organisation, out);
}

http_response operator_api::cancel(const organisation_settings& organisation, const http_request& request)
{
    auto parsed = parse_cancellation(request.body);
    if (!ok(parsed))
    {
        return error_response(http_status::bad_request, node_code::bad_request, error_of(parsed));
    }
    value_of(parsed).organisation = organisation.id;
    return command(organisation, value_of(parsed));
}

// ---------------------------------------------------------------------------------------------------------
// Reading
// ---------------------------------------------------------------------------------------------------------

// Reads at the leader to avoid stale results. Reads from this process's copy if there is no leader or if the
// request asks for it with local=true.
http_response operator_api::read(const organisation_settings& organisation, query_kind what,
                                 const http_request& request)
{
    query_call query;
    query.kind = static_cast<std::uint8_t>(what);
    query.organisation = organisation.id;
    query.name = request.parts.empty() ? std::string{} : request.parts[0];
    const bool local = query_text(request.query, "local") == "true";
    reply_body reply = local ? reply_body{} : m_core.call_and_wait(root_group, query, query_timeout);
    const auto* leader_reply = std::get_if<document_reply>(&reply);
    std::string body = leader_reply != nullptr ? leader_reply->json
                                               : m_core.run<std::string>(
                                                     [this, query]
                                                     {
                                                         return root_document(query, m_root.state());
                                                     });
    if (body.empty())
    {
        return error_response(http_status::not_found, node_code::not_found, "Not found.");
    }
    http_response answer = ok_response(std::move(body));
    if (leader_reply == nullptr)
    {
        answer.headers.emplace_back("X-Walkthread-Copy", "true");
    }
    return answer;
}

http_response operator_api::explain(const organisation_settings& organisation, const http_request& request)
{
    query_call query;
    query.kind = static_cast<std::uint8_t>(query_kind::explain);
    query.organisation = organisation.id;
    query.job = job_id{std::stoull(request.parts[0])};
    nlohmann::json halls = nlohmann::json::array();
    for (const hall_settings& hall : m_core.config().halls)
    {
        const reply_body reply = m_core.call_and_wait(group_of(hall.id), query, query_timeout);
        const auto* document = std::get_if<document_reply>(&reply);
        auto part = document == nullptr ? nlohmann::json::object() : nlohmann::json::parse(document->json);
        if (!part.empty())
        {
            halls.push_back(std::move(part));
        }
    }
    if (halls.empty())
    {
        return error_response(http_status::not_found, node_code::not_found, "No such job.");
    }
    return ok_response(halls.dump());
}

http_response operator_api::timeline_for(organisation_id organisation, const http_request& request)
{
    timeline_call call;
    call.filter.organisation = organisation;
    call.filter.job = job_id{query_number(request.query, "job")};
    call.filter.worker = worker_id{static_cast<std::uint32_t>(query_number(request.query, "host"))};
    call.filter.request = attempt_id{query_number(request.query, "request")};
    std::vector<timeline_event> events;
    for (const peer_settings& peer : m_core.config().peers)
    {
        const reply_body reply = m_core.call_node_and_wait(peer.node, root_group, call, query_timeout);
        if (const auto* part = std::get_if<timeline_reply>(&reply))
        {
            events.insert(events.end(), part->events.begin(), part->events.end());
        }
    }
    return ok_response(timeline_document(std::move(events)));
}

http_response operator_api::ready()
{
    const bool ready = m_core.run<bool>(
        [this]
        {
            const monotonic_time confirmed = m_root.confirmed_at();
            return confirmed != monotonic_time{} &&
                   monotonic_now() - confirmed < m_core.config().timing.config_staleness;
        });
    return ready && m_healthy ? ok_response("{\"ready\":true}")
                              : error_response(http_status::unavailable, node_code::no_leader,
                                               "The configuration has not been confirmed recently.");
}

} // namespace walkthread
