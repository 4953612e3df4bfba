// operator_api: calls for administrators of the cell, on hosts, halls and members.

#include <walkthread/node/operator_api.hpp>

#include <algorithm>
#include <optional>

#include <nlohmann/json.hpp>

#include <walkthread/wire/codec.hpp>

#include "operator_responses.hpp"

namespace walkthread
{

void operator_api::add_admin_routes(http_server& server)
{
    server.get("/v1/hosts", require_admin(
                                [this](const http_request&)
                                {
                                    return hosts();
                                }));
    server.post("/v1/hosts/([0-9]{1,9})/drain", require_admin(
                                                    [this](const http_request& r)
                                                    {
                                                        return drain(r);
                                                    }));
    server.get("/v1/halls", require_admin(
                                [this](const http_request&)
                                {
                                    return halls();
                                }));
    const std::string hall_cordon_path = "/v1/halls/([A-Za-z0-9][A-Za-z0-9._-]{0,63})/cordon";
    server.post(hall_cordon_path, require_admin(
                                      [this](const http_request& r)
                                      {
                                          return set_cordon(r.parts[0], true);
                                      }));
    server.erase(hall_cordon_path, require_admin(
                                       [this](const http_request& r)
                                       {
                                           return set_cordon(r.parts[0], false);
                                       }));
    server.get("/v1/groups", require_admin(
                                 [this](const http_request&)
                                 {
                                     return groups();
                                 }));
    server.post("/v1/members/([0-9]{1,5})/replace", require_admin(
                                                        [this](const http_request& r)
                                                        {
                                                            return replace_member(r);
                                                        }));
}

http_response operator_api::hosts()
{
    nlohmann::json out = nlohmann::json::array();
    for (const hall_settings& hall : m_core.config().halls)
    {
        const query_call query{static_cast<std::uint8_t>(query_kind::hosts), {}, {}, {}};
        const reply_body reply = m_core.call_and_wait(group_of(hall.id), query, query_timeout);
        if (const auto* document = std::get_if<document_reply>(&reply))
        {
            for (auto& entry : nlohmann::json::parse(document->json))
            {
                out.push_back(std::move(entry));
            }
        }
    }
    return ok_response(out.dump());
}

http_response operator_api::drain(const http_request& request)
{
    const hall_settings* hall = m_core.config().find_hall(query_text(request.query, "hall"));
    if (hall == nullptr)
    {
        return error_response(http_status::bad_request, node_code::bad_request,
                              "Parameter 'hall' must be the name of a hall.");
    }
    const worker_id worker{static_cast<std::uint32_t>(std::stoul(request.parts[0]))};
    const bool back = query_text(request.query, "back") == "true";
    const hall_command command = drain_workers{{worker}, !back};
    const reply_body reply =
        m_core.call_and_wait(group_of(hall->id), hall_call{encode(command)}, command_timeout);
    return std::holds_alternative<hall_reply>(reply) ? ok_response("{}") : call_error_response(reply);
}

// No value if the hall's group did not answer.
std::optional<std::string> operator_api::cordon_document(hall_id hall)
{
    const query_call query{static_cast<std::uint8_t>(query_kind::cordon), {}, {}, {}};
    const reply_body reply = m_core.call_and_wait(group_of(hall), query, query_timeout);
    const auto* document = std::get_if<document_reply>(&reply);
    return document == nullptr ? std::nullopt : std::optional(document->json);
}

http_response operator_api::halls()
{
    nlohmann::json out = nlohmann::json::array();
    for (const hall_settings& hall : m_core.config().halls)
    {
        const std::optional<std::string> known = cordon_document(hall.id);
        nlohmann::json entry = known ? nlohmann::json::parse(*known)
                                     : nlohmann::json{{"hall", hall.id.value()}, {"cordoned", nullptr}};
        entry["name"] = hall.name;
        out.push_back(std::move(entry));
    }
    return ok_response(out.dump());
}

// Each hall's group holds its own cordon, so two operators that cordon the last two halls at the same moment
// may both succeed. Work then waits until one of the cordons is lifted.
http_response operator_api::set_cordon(const std::string& name, bool cordoned)
{
    const hall_settings* hall = m_core.config().find_hall(name);
    if (hall == nullptr)
    {
        return error_response(http_status::not_found, node_code::not_found, "There is no such hall.");
    }
    const std::vector<hall_settings>& all = m_core.config().halls;
    const auto accepts_work = [this, hall](const hall_settings& other)
    {
        const std::optional<std::string> known =
            other.id == hall->id ? std::nullopt : cordon_document(other.id);
        return known && !nlohmann::json::parse(*known).at("cordoned").get<bool>();
    };
    if (cordoned && std::none_of(all.begin(), all.end(), accepts_work))
    {
        return error_response(http_status::conflict, node_code::last_hall,
                              "No other hall is known to accept work.");
    }
    const hall_command command =
        cordon_hall{cordoned, "node " + std::to_string(m_core.config().node.value())};
    const reply_body reply =
        m_core.call_and_wait(group_of(hall->id), hall_call{encode(command)}, command_timeout);
    return std::holds_alternative<hall_reply>(reply) ? ok_response("{}") : call_error_response(reply);
}

http_response operator_api::groups()
{
    nlohmann::json out = nlohmann::json::array();
    for (const group_id group : m_core.config().groups())
    {
        const query_call query{static_cast<std::uint8_t>(query_kind::group), {}, {}, {}};
        for (const node_id node : m_core.config().replicas_of(group))
        {
            const reply_body reply = m_core.call_node_and_wait(node, group, query, query_timeout);
            if (const auto* document = std::get_if<document_reply>(&reply))
            {
                auto part = nlohmann::json::parse(document->json);
                part["group"] = group.value();
                part["told_by"] = node.value();
                out.push_back(std::move(part));
            }
        }
    }
    return ok_response(out.dump());
}

// Adds the node under its new incarnation to all its groups. The former incarnation is removed once the new
// one is a voter.
http_response operator_api::replace_member(const http_request& request)
{
    const node_id node{static_cast<std::uint16_t>(std::stoul(request.parts[0]))};
    const incarnation_id incarnation = m_core.network().incarnation_of(node);
    if (incarnation.value() == 0 || m_core.config().find_peer(node) == nullptr)
    {
        return error_response(http_status::not_found, node_code::not_found,
                              "The node is unknown or has not connected yet.");
    }
    bool changed = false;
    for (const group_id group : m_core.config().groups())
    {
        const std::vector<node_id>& replicas = m_core.config().replicas_of(group);
        if (std::find(replicas.begin(), replicas.end(), node) == replicas.end())
        {
            continue;
        }
        members_call change;
        change.add = learner{replica_id{node, incarnation}, true, {}};
        const reply_body reply = m_core.call_and_wait(group, change, command_timeout);
        const auto* accepted = std::get_if<done_reply>(&reply);
        if (accepted == nullptr)
        {
            return call_error_response(reply);
        }
        changed = changed || accepted->changed;
    }
    return changed ? ok_response("{}")
                   : error_response(http_status::conflict, node_code::change_pending,
                                    "The node is already a member under its latest known incarnation.");
}

} // namespace walkthread
