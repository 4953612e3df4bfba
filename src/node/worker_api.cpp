#include <walkthread/node/worker_api.hpp>

#include <algorithm>

#include <walkthread/node/documents.hpp>
#include <walkthread/node/http_responses.hpp>

namespace walkthread
{

namespace
{
constexpr int lease_margin_divisor = 8;
constexpr milliseconds min_margin{300};
constexpr milliseconds max_margin{1500};
} // namespace

worker_api::worker_api(process_core& core) : m_core(core), m_access(core.config())
{
}

void worker_api::add_routes(http_server& server)
{
    const std::string name = "([A-Za-z0-9][A-Za-z0-9._-]{0,63})";
    server.post("/v1/halls/" + name + "/renew",
                [this](const http_request& request)
                {
                    return renew(request);
                });
}

http_response worker_api::renew(const http_request& request)
{
    if (!m_access.is_worker(request.authorization))
    {
        return error_response(http_status::unauthorised, node_code::unauthorised,
                              "The token is missing or wrong.");
    }
    const hall_settings* hall = m_core.config().find_hall(request.parts[0]);
    auto parsed = parse_renewal(request.body);
    if (hall == nullptr || !ok(parsed))
    {
        return error_response(http_status::bad_request, node_code::bad_request,
                              hall == nullptr ? "Unknown hall." : error_of(parsed));
    }
    renew_call& call = value_of(parsed);
    call.wait_ms = std::min<std::int64_t>(call.wait_ms, m_core.config().timing.worker_poll.count());
    const milliseconds margin = m_core.config().timing.worker_lease / lease_margin_divisor;
    const milliseconds timeout = milliseconds(call.wait_ms) + std::clamp(margin, min_margin, max_margin);
    const reply_body reply = m_core.call_and_wait(group_of(hall->id), std::move(call), timeout);
    if (const auto* answered = std::get_if<renew_reply>(&reply))
    {
        return ok_response(renewal_document(*answered));
    }
    return error_response(http_status::unavailable, node_code::no_leader,
                          "The hall has no leader at the moment.");
}

} // namespace walkthread
