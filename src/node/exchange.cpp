#include <walkthread/node/exchange.hpp>

#include <httplib.h>

#include <walkthread/node/clock.hpp>

namespace walkthread
{

namespace
{
constexpr std::size_t max_idle_connections = 8;
constexpr duration max_idle_time = seconds(4);
constexpr milliseconds connect_timeout{1000};

std::string address_of(const endpoint& to)
{
    return to.ip + ':' + std::to_string(to.port);
}

/// Whether an error guarantees that no byte of the request was sent.
bool never_sent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
           error == httplib::Error::BindIPAddress;
}

exchange_outcome classify(const httplib::Result& result, const exchange_request& request)
{
    if (!result)
    {
        return never_sent(result.error()) ? exchange_outcome::not_sent : exchange_outcome::broken;
    }
    const bool names_attempt =
        result->get_header_value("X-Walkthread-Attempt") == std::to_string(request.attempt.value());
    const bool has_length = result->has_header("Content-Length");
    if (!names_attempt || !has_length)
    {
        return exchange_outcome::broken;
    }
    const bool leaving = result->has_header("X-Walkthread-Leaving");
    return leaving ? exchange_outcome::refused : exchange_outcome::complete_response;
}
} // namespace

struct endpoint_connections::connection
{
    explicit connection(const endpoint& to) : client(to.ip, to.port)
    {
    }
    httplib::Client client;
    monotonic_time used_at{};
};

endpoint_connections::endpoint_connections() = default;
endpoint_connections::~endpoint_connections() = default;

std::unique_ptr<endpoint_connections::connection>
endpoint_connections::acquire(const endpoint& to, const exchange_request& request)
{
    if (!request.fresh_connection)
    {
        const std::scoped_lock lock(m_mutex);
        auto& idle = m_idle[address_of(to)];
        while (!idle.empty())
        {
            std::unique_ptr<connection> found = std::move(idle.back());
            idle.pop_back();
            if (monotonic_now() - found->used_at < max_idle_time)
            {
                return found;
            }
        }
    }
    auto fresh = std::make_unique<connection>(to);
    fresh->client.set_tcp_nodelay(true);
    fresh->client.set_keep_alive(!request.fresh_connection);
    fresh->client.set_connection_timeout(connect_timeout);
    return fresh;
}

void endpoint_connections::return_to_pool(const endpoint& to, std::unique_ptr<connection> used)
{
    used->used_at = monotonic_now();
    const std::scoped_lock lock(m_mutex);
    auto& idle = m_idle[address_of(to)];
    if (idle.size() < max_idle_connections)
    {
        idle.push_back(std::move(used));
    }
}

exchange_result endpoint_connections::run(const endpoint& to, const exchange_request& request)
{
    std::unique_ptr<connection> pooled = acquire(to, request);
    pooled->client.set_read_timeout(request.timeout);
    pooled->client.set_write_timeout(request.timeout);
    const httplib::Headers headers{{"X-Walkthread-Attempt", std::to_string(request.attempt.value())},
                                   {"X-Walkthread-Run", to_string(to.run)}};
    const httplib::Result result = pooled->client.Post("/v1/exchange/" + request.service, headers,
                                                       request.body, "application/octet-stream");
    exchange_result out;
    out.end = classify(result, request);
    if (out.end == exchange_outcome::complete_response)
    {
        out.status = result->status;
        out.body = result->body;
        out.content_type = result->get_header_value("Content-Type");
        if (!request.fresh_connection)
        {
            return_to_pool(to, std::move(pooled));
        }
    }
    return out;
}

} // namespace walkthread
