#include <walkthread/fabric/replica_host.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include <boost/asio/post.hpp>

#include <walkthread/node/clock.hpp>

namespace walkthread
{

/// The disk thread: runs one job at a time.
struct replica_host::disk
{
    disk()
        : worker(
              [this]
              {
                  run();
              })
    {
    }
    ~disk()
    {
        {
            const std::scoped_lock lock(mutex);
            stopping = true;
        }
        wake.notify_one();
        worker.join();
    }
    disk(const disk&) = delete;
    disk& operator=(const disk&) = delete;

    void post(std::function<void()> next)
    {
        {
            const std::scoped_lock lock(mutex);
            job = std::move(next);
        }
        wake.notify_one();
    }

    void run()
    {
        for (;;)
        {
            std::function<void()> next;
            {
                std::unique_lock lock(mutex);
                wake.wait(lock,
                          [this]
                          {
                              return stopping || job;
                          });
                if (!job)
                {
                    return;
                }
                next = std::exchange(job, nullptr);
            }
            next();
        }
    }

    std::mutex mutex;
    std::condition_variable wake;
    std::function<void()> job;
    bool stopping = false;
    std::thread worker;
};

replica_host::replica_host(boost::asio::io_context& loop, std::unique_ptr<data_folder> folder,
                           std::unique_ptr<replicated_group> group, replica_host_hooks hooks,
                           milliseconds tick)
    : m_loop(loop), m_group(std::move(group)), m_storage(std::move(folder), *m_group),
      m_hooks(std::move(hooks)), m_tick(tick), m_timer(loop), m_retry(loop), m_disk(std::make_unique<disk>())
{
}

replica_host::~replica_host()
{
    *m_alive = false;
}

void replica_host::start()
{
    tick();
}

void replica_host::tick()
{
    m_group->core().tick(monotonic_now());
    pump();
    m_hooks.changed();
    m_timer.expires_after(m_tick);
    m_timer.async_wait(
        [this, alive = m_alive](boost::system::error_code cancelled)
        {
            if (*alive && !cancelled)
            {
                tick();
            }
        });
}

void replica_host::receive(const replica_envelope& envelope)
{
    m_group->core().receive(envelope, monotonic_now());
    pump();
}

void replica_host::propose(wall_ms at, std::string command, replicated_group::result_handler handler)
{
    m_group->propose(at, std::move(command), std::move(handler), monotonic_now());
    pump();
}

void replica_host::pump()
{
    if (m_pumping || m_failed)
    {
        m_pump_again = true;
        return;
    }
    m_pumping = true;
    std::size_t applied = 0;
    do
    {
        m_pump_again = false;
        const monotonic_time now = monotonic_now();
        const bool busy = m_storage.busy();
        replica_output output = busy ? m_group->core().take_unsynced(now) : m_group->core().take_output(now);
        const bool sync = output.needs_sync();
        std::vector<replica_envelope> messages = std::exchange(output.messages, {});
        for (replica_envelope& envelope : messages)
        {
            // A leader may send append requests before its own entries are durable; messages that
            // acknowledge or promise anything wait for the disk.
            const bool can_send_now =
                !sync || (!output.state && std::holds_alternative<append_request>(envelope.message));
            if (can_send_now)
            {
                m_hooks.send(envelope);
            }
            else
            {
                m_held_messages.push_back(std::move(envelope));
            }
        }
        applied += m_group->apply(output) + (output.install ? 1 : 0);
        if (sync)
        {
            m_storage.add(output);
        }
        else if (!busy)
        {
            m_group->core().synced(now);
        }
        start_disk_task(now);
        m_pump_again = m_pump_again || m_group->core().commit_index() > m_group->applied();
    } while (m_pump_again);
    m_pumping = false;
    if (applied > 0)
    {
        m_hooks.changed();
    }
}

void replica_host::start_disk_task(monotonic_time now)
{
    std::optional<disk_task> task = m_storage.next_task(now);
    if (!task)
    {
        return;
    }
    m_disk->post(
        [this, alive = m_alive, run = std::move(task->run)]
        {
            result<done, storage_error> outcome = run();
            boost::asio::post(m_loop,
                              [this, alive, outcome = std::move(outcome)]
                              {
                                  if (*alive)
                                  {
                                      finish_disk_task(outcome, monotonic_now());
                                  }
                              });
        });
}

void replica_host::finish_disk_task(const result<done, storage_error>& outcome, monotonic_time now)
{
    const disk_report report = m_storage.finish(outcome, now);
    if (report.failed)
    {
        m_failed = true;
        m_hooks.disk_failed(error_of(outcome));
        return;
    }
    if (report.refuses)
    {
        m_hooks.disk_refuses(error_of(outcome));
    }
    if (report.kind != disk_work::log_write)
    {
        m_hooks.maintenance_ended(report, outcome);
    }
    if (report.accepts)
    {
        m_hooks.disk_accepts();
    }
    if (report.log_durable)
    {
        for (const replica_envelope& envelope : std::exchange(m_held_messages, {}))
        {
            m_hooks.send(envelope);
        }
        m_group->core().synced(now);
    }
    start_disk_task(now); // before more output is taken, as under load there always is some
    if (const std::optional<monotonic_time> retry_at = m_storage.retry_at())
    {
        m_retry.expires_after(*retry_at - now);
        m_retry.async_wait(
            [this, alive = m_alive](boost::system::error_code cancelled)
            {
                if (*alive && !cancelled)
                {
                    start_disk_task(monotonic_now());
                }
            });
    }
    pump();
}

} // namespace walkthread
