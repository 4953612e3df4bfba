#include <walkthread/node/http_server.hpp>

#include <sys/socket.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include <httplib.h>

#include <walkthread/node/documents.hpp>
#include <walkthread/node/http_responses.hpp>

namespace walkthread
{

namespace
{
constexpr std::size_t overflow_threads = 2;
constexpr std::size_t requests_per_connection = 10'000;

/// Whether this thread rejects connections that arrived while the queue was full.
thread_local bool t_overflow = false;

std::string error_body(node_code code, const char* detail)
{
    return error_document(static_cast<int>(code), detail);
}

/// Thread pool with one queue of jobs.
class thread_pool
{
  public:
    thread_pool(std::size_t count, bool overflow)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            m_threads.emplace_back(
                [this, overflow]
                {
                    t_overflow = overflow;
                    work();
                });
        }
    }
    [[nodiscard]] bool try_enqueue(const std::function<void()>& job, std::size_t max_queued)
    {
        const std::scoped_lock lock(m_mutex);
        if (m_jobs.size() >= max_queued)
        {
            return false;
        }
        m_jobs.push_back(job);
        m_changed.notify_all();
        return true;
    }
    void enqueue_when_free(const std::function<void()>& job, std::size_t max_queued)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock,
                       [&]
                       {
                           return m_finished || m_jobs.size() < max_queued;
                       });
        m_jobs.push_back(job);
        m_changed.notify_all();
    }
    void finish()
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_finished = true;
        }
        m_changed.notify_all();
        for (std::thread& thread : m_threads)
        {
            thread.join();
        }
    }

  private:
    void work()
    {
        while (true)
        {
            std::function<void()> job;
            {
                std::unique_lock lock(m_mutex);
                m_changed.wait(lock,
                               [this]
                               {
                                   return m_finished || !m_jobs.empty();
                               });
                if (m_jobs.empty())
                {
                    return;
                }
                job = std::move(m_jobs.front());
                m_jobs.pop_front();
            }
            m_changed.notify_all();
            job();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_jobs;
    bool m_finished = false;
    std::vector<std::thread> m_threads;
};

/// Bounded task queue for the HTTP library.
class bounded_queue : public httplib::TaskQueue
{
  public:
    explicit bounded_queue(const http_limits& limits)
        : m_max_queued(limits.queue), m_main(limits.threads, false), m_overflow(overflow_threads, true)
    {
    }
    void enqueue(std::function<void()> job) override
    {
        if (!m_main.try_enqueue(job, m_max_queued))
        {
            m_overflow.enqueue_when_free(job, m_max_queued);
        }
    }
    void shutdown() override
    {
        m_main.finish();
        m_overflow.finish();
    }

  private:
    std::size_t m_max_queued;
    thread_pool m_main;
    thread_pool m_overflow;
};

http_request to_request(const httplib::Request& from)
{
    http_request out;
    out.path = from.path;
    for (std::size_t i = 1; i < from.matches.size(); ++i)
    {
        out.parts.push_back(from.matches[i]);
    }
    for (const auto& [key, value] : from.params)
    {
        out.query[key] = value;
    }
    out.authorization = from.get_header_value("Authorization");
    out.idempotency_key = from.get_header_value("Idempotency-Key");
    out.body = from.body;
    return out;
}

httplib::Server::Handler to_library(http_handler handler)
{
    return [handler = std::move(handler)](const httplib::Request& request, httplib::Response& response)
    {
        const http_response answer = handler(to_request(request));
        response.status = answer.status;
        for (const auto& [key, value] : answer.headers)
        {
            response.set_header(key, value);
        }
        response.set_content(answer.body, answer.content_type);
    };
}

void set_error_responses(httplib::Server& server)
{
    server.set_pre_routing_handler(
        [](const httplib::Request&, httplib::Response& response)
        {
            if (!t_overflow)
            {
                return httplib::Server::HandlerResponse::Unhandled;
            }
            response.status = http_status::unavailable;
            response.set_header("Retry-After", "1");
            response.set_header("Connection", "close");
            response.set_header("X-Walkthread-Outcome", "not_run");
            response.set_content(error_body(node_code::overloaded, "The connection queue is full."),
                                 "application/json");
            return httplib::Server::HandlerResponse::Handled;
        });
    server.set_error_handler(
        [](const httplib::Request&, httplib::Response& response)
        {
            if (!response.body.empty())
            {
                return;
            }
            const bool large = response.status == http_status::too_large;
            response.set_content(
                large ? error_body(node_code::too_large, "The body exceeds the size limit.")
                      : error_body(node_code::bad_request, "Unknown path or malformed request."),
                "application/json");
        });
    server.set_exception_handler(
        [](const httplib::Request&, httplib::Response& response, const std::exception_ptr&)
        {
            response.status = http_status::internal;
            response.set_content(error_body(node_code::bad_request, "The request could not be handled."),
                                 "application/json");
        });
}

// The library's default, SO_REUSEPORT, has two faults: a second server shares a taken address without an
// error, and a port whose former listener had SO_REUSEADDR cannot be bound until its connections leave
// TIME_WAIT.
void set_listener_options(int socket)
{
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}
} // namespace

struct http_server::implementation
{
    socket_address address;
    std::unique_ptr<httplib::Server> server;
    std::thread thread;
};

http_server::http_server(socket_address address, const http_limits& limits, const std::string& certificate,
                         const std::string& key)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->address = std::move(address);
    if (certificate.empty())
    {
        m_implementation->server = std::make_unique<httplib::Server>();
    }
    else
    {
        m_implementation->server = std::make_unique<httplib::SSLServer>(certificate.c_str(), key.c_str());
    }
    httplib::Server& server = *m_implementation->server;
    server.set_tcp_nodelay(true);
    server.set_socket_options(set_listener_options);
    server.new_task_queue = [limits]
    {
        return new bounded_queue(limits);
    };
    server.set_payload_max_length(limits.body_bytes);
    server.set_keep_alive_timeout(static_cast<time_t>(limits.keep_alive.count()));
    server.set_keep_alive_max_count(requests_per_connection);
    server.set_read_timeout(static_cast<time_t>(limits.read_timeout.count()));
    server.set_write_timeout(static_cast<time_t>(limits.read_timeout.count()));
    set_error_responses(server);
}

http_server::~http_server()
{
    stop();
}

void http_server::get(const std::string& pattern, http_handler handler)
{
    m_implementation->server->Get(pattern, to_library(std::move(handler)));
}

void http_server::put(const std::string& pattern, http_handler handler)
{
    m_implementation->server->Put(pattern, to_library(std::move(handler)));
}

void http_server::post(const std::string& pattern, http_handler handler)
{
    m_implementation->server->Post(pattern, to_library(std::move(handler)));
}

void http_server::erase(const std::string& pattern, http_handler handler)
{
    m_implementation->server->Delete(pattern, to_library(std::move(handler)));
}

const socket_address& http_server::address() const
{
    return m_implementation->address;
}

bool http_server::start()
{
    implementation& impl = *m_implementation;
    if (!impl.server->is_valid() || !impl.server->bind_to_port(impl.address.ip.c_str(), impl.address.port))
    {
        return false;
    }
    impl.thread = std::thread(
        [&impl]
        {
            impl.server->listen_after_bind();
        });
    while (!impl.server->is_running())
    {
        std::this_thread::yield();
    }
    return true;
}

void http_server::stop()
{
    implementation& impl = *m_implementation;
    if (impl.thread.joinable())
    {
        impl.server->stop();
        impl.thread.join();
    }
}

} // namespace walkthread
