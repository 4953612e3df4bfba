// Cost of a complete leader: its decisions, its HTTP calls to workers, its log. Workers are simulated on a
// separate thread over loopback; only the leader's thread is measured.
//
//     walkthread_leader_bench WORKERS [SECONDS]
//
// prints the leader's processor time per task run, in microseconds.

#include <cstdio>
#include <filesystem>
#include <random>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <walkthread/fabric/core_node.hpp>
#include <walkthread/fabric/web_listener.hpp>
#include <walkthread/node/clock.hpp>
#include <walkthread/workload/names.hpp>

#include "worker_client.hpp"

namespace
{
using namespace walkthread;
using nlohmann::json;
namespace asio = boost::asio;

constexpr std::uint16_t worker_port = 18'080;
constexpr std::uint16_t leader_port = 18'081;

double thread_seconds()
{
    timespec used{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + 1e-9 * static_cast<double>(used.tv_nsec);
}

std::string name_of_worker(std::size_t number)
{
    return "w" + std::to_string(number);
}

std::string address_of_worker(std::size_t number)
{
    return "127.1." + std::to_string(number / 200) + '.' + std::to_string(1 + number % 200) + ':' +
           std::to_string(worker_port);
}

/// Simulated workers on one thread, which report a run as done after its run time.
class worker_farm
{
  public:
    worker_farm()
        : m_listener(m_loop, bounds(),
                     [this](const web_request& request, const std::function<void(web_response)>& answer)
                     {
                         take(request, answer);
                     })
    {
    }
    bool open()
    {
        const bool opened = m_listener.open("0.0.0.0:" + std::to_string(worker_port)).empty();
        m_thread = std::thread(
            [this]
            {
                m_loop.run();
            });
        return opened;
    }
    void close()
    {
        asio::post(m_loop,
                   [this]
                   {
                       m_listener.stop_accepting();
                       m_loop.stop();
                   });
        m_thread.join();
    }

  private:
    struct worker
    {
        std::map<std::string, json> running;
        std::vector<json> ended;
        std::uint64_t next_end = 1;
        std::function<void(web_response)> waiting;
        std::uint64_t poll = 0;
    };

    static web_limits bounds()
    {
        web_limits out;
        out.connections = 20'000;
        return out;
    }
    static std::int64_t clock_ms()
    {
        return std::chrono::duration_cast<milliseconds>(monotonic_now().time_since_epoch()).count();
    }
    static web_response make_json_answer(const json& body)
    {
        web_response out;
        out.status = 200;
        out.body = body.dump();
        return out;
    }
    void take(const web_request& request, const std::function<void(web_response)>& answer)
    {
        worker& at = m_workers[std::string(request.header("X-Walkthread-Expect-Instance"))];
        const json body = json::parse(request.body);
        if (request.target == "/walkthread/hold")
        {
            poll(at, body, answer);
            return;
        }
        if (request.target == "/walkthread/run-start")
        {
            start(at, body);
        }
        answer(make_json_answer({{"clock-ms", clock_ms()}}));
    }
    void start(worker& at, const json& body)
    {
        const std::string task = body["task"];
        at.running[task] = json::array({task, body["run-id"], "", 10, 100});
        const json spec = json::parse(body["spec"].get<std::string>());
        in(milliseconds(spec["run-ms"].get<std::int64_t>()),
           [this, &at, task, run = body["run-id"]]
           {
               at.running.erase(task);
               at.ended.push_back(json::array({at.next_end++, task, run, "done", ""}));
               send_poll_answer(at);
           });
    }
    void poll(worker& at, const json& body, const std::function<void(web_response)>& answer)
    {
        const auto seen = body["last-seen"].get<std::uint64_t>();
        std::erase_if(at.ended,
                      [seen](const json& end)
                      {
                          return end[0].get<std::uint64_t>() <= seen;
                      });
        at.waiting = answer;
        const std::uint64_t number = ++at.poll;
        if (!at.ended.empty() || !body.contains("wait-ms"))
        {
            send_poll_answer(at);
            return;
        }
        in(milliseconds(body["wait-ms"].get<std::int64_t>()),
           [this, &at, number]
           {
               if (at.poll == number)
               {
                   send_poll_answer(at);
               }
           });
    }
    void send_poll_answer(worker& at)
    {
        if (!at.waiting)
        {
            return;
        }
        json running = json::array();
        for (const auto& [task, row] : at.running)
        {
            running.push_back(row);
        }
        const auto answer = std::exchange(at.waiting, nullptr);
        answer(make_json_answer({{"clock-ms", clock_ms()}, {"running", running}, {"finished", at.ended}}));
    }
    void in(milliseconds after, const std::function<void()>& then)
    {
        const auto timer = std::make_shared<asio::steady_timer>(m_loop, after);
        timer->async_wait(
            [timer, then](boost::system::error_code cancelled)
            {
                if (!cancelled)
                {
                    then();
                }
            });
    }

    asio::io_context m_loop;
    web_listener m_listener;
    std::map<std::string, worker> m_workers;
    std::thread m_thread;
};

/// A leader without other replicas and its load, in the proportions of the known workloads.
class leader_benchmark
{
  public:
    leader_benchmark(std::size_t workers, double run_seconds)
        : m_workers(workers), m_seconds(run_seconds),
          m_folder(std::filesystem::temp_directory_path() / "walkthread-leader-bench"), m_timer(m_loop),
          m_client(m_loop, settings(), m_log)
    {
        std::filesystem::remove_all(m_folder);
    }
    int run()
    {
        core_node_settings times;
        times.replication.heartbeat = milliseconds(100);
        times.replication.election_timeout = milliseconds(350);
        platform_hooks outside = m_client.hooks(true);
        outside.ask_advisor =
            [this](const advice_question& question, const std::function<void(const advice_answer&)>& handler)
        {
            advise(question, handler);
        };
        m_node = std::make_unique<core_node>(m_loop, settings().fabric, times, outside, m_log,
                                             [this](const storage_error& /*error*/)
                                             {
                                                 m_loop.stop();
                                             });
        if (const std::string failed = m_node->start(); !failed.empty())
        {
            std::fprintf(stderr, "%s\n", failed.c_str());
            return 1;
        }
        after(milliseconds(1500),
              [this]
              {
                  prepare();
              });
        m_loop.run();
        std::filesystem::remove_all(m_folder);
        return 0;
    }

  private:
    platform::process_settings settings() const
    {
        platform::process_settings out;
        out.fabric.name = "bench";
        out.fabric.peer_address = "127.0.0.1:" + std::to_string(leader_port);
        out.fabric.seeds = {out.fabric.peer_address};
        out.fabric.data_folder = m_folder.string();
        out.fabric.founding = true;
        out.fabric.max_disk_losses = 0;
        out.descriptors.polls = 6000;
        out.descriptors.orders = 2000;
        return out;
    }
    void after(milliseconds time, const std::function<void()>& then)
    {
        m_timer.expires_after(time);
        m_timer.async_wait(
            [then](boost::system::error_code cancelled)
            {
                if (!cancelled)
                {
                    then();
                }
            });
    }
    void advise(const advice_question& question, const std::function<void(const advice_answer&)>& handler)
    {
        advice_answer answer;
        answer.answered = true;
        for (const std::string& incarnation : question.incarnations)
        {
            if (std::hash<std::string>{}(name_of(question.step) + incarnation) % 2 == 0)
            {
                answer.good.push_back({incarnation, "t"});
            }
        }
        asio::post(m_loop,
                   [handler, answer]
                   {
                       handler(answer);
                   });
    }
    void prepare()
    {
        cluster_configuration held;
        held.version = 1;
        held.pools.push_back({"pool", false, false});
        for (const auto& [name, priority] : {std::pair{"urgent", 0}, {"gangs", 1}, {"batch", 2}})
        {
            queue_spec queue;
            queue.name = name;
            queue.host = "example";
            queue.path_prefix = std::string("/") + name + "/";
            queue.timeout_ms = 3000;
            queue.target_latency_ms = 1000;
            queue.stretch = 2.0;
            queue.priority = priority;
            queue.pool = "pool";
            queue.max_attempts = 2;
            queue.advised = true;
            queue.advice = {10.0, 0.2, 1500};
            held.queues.push_back(queue);
        }
        m_node->call(put_configuration_call{held}, seconds(5), [](const service_reply&) {});
        report_all();
        after(milliseconds(3000),
              [this]
              {
                  m_began = thread_seconds();
                  m_until = monotonic_now() + milliseconds(static_cast<std::int64_t>(1000 * m_seconds));
                  tick();
              });
    }
    void report_all()
    {
        for (std::size_t i = 0; i < m_workers; ++i)
        {
            worker_report report;
            report.description = {name_of_worker(i),
                                  "h" + std::to_string(i),
                                  address_of_worker(i),
                                  "pool",
                                  "hall",
                                  {"kind", "rack" + std::to_string(i / 12)},
                                  {16000, 65536, 0, 0}};
            report.clock_ms = 0;
            report.sequence = 1;
            m_node->call(report_call{report}, seconds(5), [](const service_reply&) {});
        }
    }
    void tick()
    {
        const double part = static_cast<double>(m_workers) / 1100.0;
        submit("urgent", 1.14 * part, 4, 3900, 1000, false);
        submit("batch", 0.168 * part, 40, 2700, 2700, false);
        submit("gangs", 0.1 * part, 40, 4500, 4000, true);
        if (monotonic_now() < m_until)
        {
            after(milliseconds(10),
                  [this]
                  {
                      tick();
                  });
            return;
        }
        const double used = thread_seconds() - m_began;
        metrics_page page;
        m_node->fill(page);
        const double starts = figure_of(page.text(), "walkthread_task_starts_total ");
        std::printf("workers %zu, starts a second %.0f, cores %.3f, us a start %.1f, not sent %.0f\n",
                    m_workers, starts / m_seconds, used / m_seconds, 1e6 * used / starts,
                    figure_of(page.text(), "walkthread_orders_not_sent_total "));
        m_loop.stop();
    }
    static double figure_of(const std::string& page, const std::string& name)
    {
        const auto at = page.find('\n' + name);
        return at == std::string::npos ? 0.0 : std::stod(page.substr(at + 1 + name.size()));
    }
    void submit(const std::string& queue, double mean, std::uint32_t count, std::int64_t cpu,
                std::int64_t run_ms, bool gang)
    {
        for (int i = std::poisson_distribution<int>(mean)(m_random); i > 0; --i)
        {
            submit_call call;
            call.id = submission_id{++m_next};
            call.host = "example";
            call.path = "/" + queue + "/" + name_of(call.id);
            call.spec.payload = json{{"run-ms", run_ms}}.dump();
            step_spec step;
            step.count = count;
            step.size = {cpu, 9000, 0, 0};
            step.estimate_ms = run_ms;
            step.gang = gang;
            call.spec.steps = {step};
            m_node->call(call, seconds(3), [](const service_reply&) {});
        }
    }

    std::size_t m_workers;
    double m_seconds;
    std::filesystem::path m_folder;
    asio::io_context m_loop{1};
    asio::steady_timer m_timer;
    decision_log m_log;
    platform::worker_client m_client;
    std::unique_ptr<core_node> m_node;
    std::mt19937_64 m_random{7};
    std::uint64_t m_next = 1000;
    double m_began = 0;
    monotonic_time m_until{};
};
} // namespace

int main(int argc, char** argv)
{
    const std::size_t workers = argc > 1 ? std::stoul(argv[1]) : 1100;
    const double run_seconds = argc > 2 ? std::stod(argv[2]) : 5.0;
    worker_farm farm;
    if (!farm.open())
    {
        std::fprintf(stderr, "port %d is in use\n", worker_port);
        return 1;
    }
    const int code = leader_benchmark(workers, run_seconds).run();
    farm.close();
    return code;
}
