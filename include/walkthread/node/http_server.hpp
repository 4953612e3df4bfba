#pragma once

/// @file
/// @brief HTTP server with a bounded thread pool and queue. This header hides the HTTP library.
/// @since 0.1

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <walkthread/settings/settings.hpp>

namespace walkthread
{

/// @brief An HTTP request as passed to handlers.
/// @since 0.1
struct http_request
{
    std::string path{};
    std::vector<std::string> parts{};           ///< capture groups of the route's pattern
    std::map<std::string, std::string> query{}; ///< URL-decoded
    std::string authorization{};
    std::string idempotency_key{};
    std::string body{};
};

/// @brief An HTTP response.
/// @since 0.1
struct http_response
{
    int status = 200;
    std::string body{};
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers{};
};

/// @brief Handles a request. Called concurrently from the server's threads.
using http_handler = std::function<http_response(const http_request&)>;

/// @brief Resource limits of one HTTP server.
/// @since 0.1
struct http_limits
{
    std::size_t threads = 64;
    std::size_t queue = 128;
    std::size_t body_bytes = 1U << 20U;
    seconds keep_alive{5};
    seconds read_timeout{5};
};

/// @brief One HTTP server.
///
/// A connection occupies one thread. If all threads are busy, connections wait in a bounded queue. If the
/// queue is full, they get 503 with Retry-After at once. If the queue of connections to reject is full too,
/// the server stops accepting until one of them has been answered.
/// @since 0.1
class http_server
{
  public:
    /// @param certificate path of a PEM file; empty for plain HTTP
    http_server(socket_address address, const http_limits& limits, const std::string& certificate,
                const std::string& key);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// @brief Adds a route. @param pattern a regular expression that matches the whole path
    void get(const std::string& pattern, http_handler handler);
    void put(const std::string& pattern, http_handler handler);
    void post(const std::string& pattern, http_handler handler);
    void erase(const std::string& pattern, http_handler handler);

    /// @brief The address it listens on. @since 0.5
    [[nodiscard]] const socket_address& address() const;
    /// @brief Starts listening. @return whether the address could be bound
    [[nodiscard]] bool start();
    /// @brief Stops accepting and waits until the requests in progress are answered.
    void stop();

  private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace walkthread
