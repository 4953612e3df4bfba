#include <walkthread/node/platform_watch.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace walkthread
{

namespace
{
constexpr milliseconds poll_interval{1000};
constexpr milliseconds stop_check_interval{100};
constexpr milliseconds request_timeout{2000};

std::set<worker_id> read_list(const nlohmann::json& body, const char* key)
{
    std::set<worker_id> out;
    if (!body.is_object() || !body.contains(key) || !body.at(key).is_array())
    {
        return out;
    }
    for (const auto& item : body.at(key))
    {
        if (item.is_number_unsigned())
        {
            out.insert(worker_id{item.get<std::uint32_t>()});
        }
    }
    return out;
}
} // namespace

platform_watch::platform_watch(socket_address platform, list_handler handler)
    : m_platform(std::move(platform)), m_handler(std::move(handler)), m_log(make_logger("platform"))
{
}

platform_watch::~platform_watch()
{
    stop();
}

void platform_watch::start()
{
    m_thread = std::thread(
        [this]
        {
            loop();
        });
}

void platform_watch::stop()
{
    m_stopping = true;
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

void platform_watch::loop()
{
    while (!m_stopping)
    {
        poll_once();
        for (milliseconds waited{0}; waited < poll_interval && !m_stopping; waited += stop_check_interval)
        {
            std::this_thread::sleep_for(stop_check_interval);
        }
    }
}

void platform_watch::poll_once()
{
    httplib::Client client(m_platform.ip, m_platform.port);
    client.set_connection_timeout(request_timeout);
    client.set_read_timeout(request_timeout);
    const httplib::Result answer = client.Get("/v1/hosts");
    if (!answer || answer->status != 200)
    {
        m_log->debug("The platform's host list is unavailable.");
        return;
    }
    const auto body = nlohmann::json::parse(answer->body, nullptr, false);
    m_handler(read_list(body, "live"), read_list(body, "leaving"));
}

} // namespace walkthread
