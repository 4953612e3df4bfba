#include "http_client.hpp"

#include <httplib.h>

namespace walkthread::ctl
{

namespace
{
constexpr int timeout_seconds = 30;

httplib::Result perform(httplib::Client& client, const std::string& method, const std::string& path,
                        const std::string& body)
{
    if (method == "PUT")
    {
        return client.Put(path, body, "application/json");
    }
    if (method == "POST")
    {
        return client.Post(path, body, "application/json");
    }
    if (method == "DELETE")
    {
        return client.Delete(path);
    }
    return client.Get(path);
}
} // namespace

http_reply send_request(const connection_options& to, const std::string& method, const std::string& path,
                        const std::string& body)
{
    httplib::Client client((to.tls ? "https://" : "http://") + to.address);
    if (!to.certificate.empty())
    {
        client.set_ca_cert_path(to.certificate);
    }
    client.set_connection_timeout(timeout_seconds);
    client.set_read_timeout(timeout_seconds);
    client.set_tcp_nodelay(true);
    client.set_default_headers({{"Authorization", "Bearer " + to.token}});
    const httplib::Result result = perform(client, method, path, body);
    return result ? http_reply{result->status, result->body} : http_reply{};
}

} // namespace walkthread::ctl
