#pragma once

// HTTP client for the operators' API.

#include <string>

namespace walkthread::ctl
{

/// @brief Address, credentials and TLS options of a connection.
struct connection_options
{
    std::string address; ///< ip:port of any process of the cell
    std::string token;
    bool tls = false;
    std::string certificate; ///< CA certificate file; empty for the system's CAs
};

/// @brief A response; status 0 if there was none.
struct http_reply
{
    int status = 0;
    std::string body;
};

/// @brief Sends one request and waits for the response.
/// @return the response, or status 0 if the request failed; network errors are not thrown
[[nodiscard]] http_reply send_request(const connection_options& to, const std::string& method,
                                      const std::string& path, const std::string& body);

} // namespace walkthread::ctl
