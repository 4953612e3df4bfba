#include <walkthread/fabric/replica_host.hpp>

#include <condition_variable>
#include <mutex>
#include <utility>

#include <boost/asio/post.hpp>

#include <walkthread/node/clock.hpp>

namespace walkthread
{

namespace
{
constexpr milliseconds write_retry_delay{200}; // after a transient failure, such as a full disk
}

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
    : m_loop(loop), m_folder(std::move(folder)), m_group(std::move(group)), m_hooks(std::move(hooks)),
      m_tick(tick), m_timer(loop), m_retry(loop), m_disk(std::make_unique<disk>())
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
        replica_output output =
            m_writing ? m_group->core().take_unsynced(now) : m_group->core().take_output(now);
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
            write(output);
        }
        else if (!m_writing)
        {
            m_group->core().synced(now);
            store_snapshot_if_due();
        }
        m_pump_again = m_pump_again || m_group->core().commit_index() > m_group->applied();
    } while (m_pump_again);
    m_pumping = false;
    if (applied > 0)
    {
        m_hooks.changed();
    }
}

void replica_host::write(const replica_output& output)
{
    m_folder->add(m_group->id(), output);
    run_on_disk(
        [this]
        {
            return m_folder->sync();
        },
        [this](const result<done, storage_error>& outcome)
        {
            handle_write_result(outcome);
        });
}

void replica_host::handle_write_result(const result<done, storage_error>& outcome)
{
    if (!ok(outcome) && error_of(outcome).code != storage_code::cannot_write)
    {
        m_failed = true;
        m_hooks.disk_failed(error_of(outcome));
        return;
    }
    if (!ok(outcome))
    {
        m_write_refused = true;
        m_hooks.disk_refuses(error_of(outcome));
        m_writing = true;
        m_retry.expires_after(write_retry_delay);
        m_retry.async_wait(
            [this, alive = m_alive](boost::system::error_code cancelled)
            {
                if (*alive && !cancelled)
                {
                    write(replica_output{});
                }
            });
        return;
    }
    if (std::exchange(m_write_refused, false))
    {
        m_hooks.disk_accepts();
    }
    for (const replica_envelope& envelope : std::exchange(m_held_messages, {}))
    {
        m_hooks.send(envelope);
    }
    m_group->core().synced(monotonic_now());
    store_snapshot_if_due(); // before the next write, as under load a write is always pending
    pump();
}

void replica_host::store_snapshot_if_due()
{
    if (m_writing)
    {
        return;
    }
    if (std::optional<snapshot> made = m_group->compact_if_due())
    {
        run_on_disk(
            [this, content = std::move(*made)]
            {
                return m_folder->store_snapshot(m_group->id(), content);
            },
            [this](const result<done, storage_error>& outcome)
            {
                handle_write_result(outcome);
            });
    }
    else if (m_folder->rewrite_due())
    {
        std::map<group_id, replica_start> live;
        live[m_group->id()] = m_group->retained_state();
        run_on_disk(
            [this, content = std::move(live)]
            {
                return m_folder->rewrite(content);
            },
            [this](const result<done, storage_error>& outcome)
            {
                handle_write_result(outcome);
            });
    }
}

void replica_host::run_on_disk(std::function<result<done, storage_error>()> job,
                               std::function<void(const result<done, storage_error>&)> then)
{
    m_writing = true;
    m_disk->post(
        [this, alive = m_alive, job = std::move(job), then = std::move(then)]
        {
            result<done, storage_error> outcome = job();
            boost::asio::post(m_loop,
                              [this, alive, then, outcome = std::move(outcome)]
                              {
                                  if (*alive)
                                  {
                                      m_writing = false;
                                      then(outcome);
                                  }
                              });
        });
}

} // namespace walkthread
