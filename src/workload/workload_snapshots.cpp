// Parts of workload_state: snapshots. A snapshot is one msgpack array; its parts are encoded and decoded one
// by one, as a whole copy of the state, or a tree of its values, would take several times its memory.

#include <walkthread/workload/workload_state.hpp>

#include <utility>

#include <walkthread/wire/value_stream.hpp>

namespace walkthread
{

namespace
{
// held, submissions, workers, waves, next_worker, former_ids, unheard, crashes, former, quotas, cordons,
// removed_queues, moved_routes
constexpr std::uint32_t snapshot_parts = 13;

template <typename Map>
void write_values(value_writer& out, const Map& items)
{
    out.begin_array(items.size());
    for (const auto& [key, value] : items)
    {
        out.write(value);
    }
}

template <typename T, typename Take>
void read_each(value_reader& in, Take take)
{
    for (std::uint32_t left = in.begin_array(); left > 0; --left)
    {
        take(in.read<T>());
    }
}

// Older releases wrote fewer parts.
template <typename T>
T read_part(value_reader& in, std::uint32_t& left)
{
    return left == 0 ? T{} : (--left, in.read<T>());
}
} // namespace

std::string workload_state::save() const
{
    value_writer out;
    out.begin_array(snapshot_parts);
    out.write(m_configuration);
    write_values(out, m_submissions);
    write_values(out, m_workers);
    write_values(out, m_waves);
    out.write(m_next_incarnation);
    out.begin_array(0); // ids of former workers, which older releases kept without their process start times
    out.write(m_unresponsive);
    out.write(m_crashes);
    out.write(m_former);
    out.write(m_quotas);
    out.write(m_cordons);
    write_values(out, m_removed_queues);
    out.write(m_moved_routes);
    return out.take();
}

void workload_state::read_submission(submission owner)
{
    owner.convert_former_rounds();
    const submission_id id = owner.id;
    m_submissions.emplace(id, std::move(owner));
}

// Submissions of releases before 0.10 name their queue only.
void workload_state::complete_routes()
{
    std::map<std::string, std::string> routes;
    for (const auto& [route, queue] : m_removed_queues)
    {
        routes[queue.name] = route;
    }
    for (std::size_t i = 0; m_configuration && i < m_configuration->queues.size(); ++i)
    {
        const queue_spec& queue = m_configuration->queues[i];
        routes[queue.name] = walkthread::route_of(queue);
    }
    for (auto& [id, owner] : m_submissions)
    {
        const auto known = routes.find(owner.queue);
        if (owner.route.empty() && known != routes.end())
        {
            owner.route = known->second;
        }
    }
}

void workload_state::read_snapshot(value_reader& in)
{
    std::uint32_t left = in.begin_array();
    if (left < 5)
    {
        throw msgpack::type_error();
    }
    left -= 5;
    m_configuration = in.read<std::optional<cluster_configuration>>();
    read_each<submission>(in,
                          [this](submission owner)
                          {
                              read_submission(std::move(owner));
                          });
    read_each<worker_incarnation>(in,
                                  [this](worker_incarnation worker)
                                  {
                                      const worker_incarnation_id id = worker.id;
                                      m_workers.emplace(id, std::move(worker));
                                  });
    read_each<maintenance_wave>(in,
                                [this](maintenance_wave wave)
                                {
                                    const std::uint64_t number = wave.wave;
                                    m_waves.emplace(number, std::move(wave));
                                });
    m_next_incarnation = in.read<std::uint32_t>();
    const auto former_ids = read_part<std::vector<std::string>>(in, left);
    m_unresponsive = read_part<std::vector<unresponsive_incarnation>>(in, left);
    m_crashes = read_part<crash_evidence_table>(in, left);
    m_former = read_part<std::vector<worker_incarnation_ref>>(in, left);
    for (const std::string& id : former_ids)
    {
        m_former.push_back({id, process_start_ms{}});
    }
    m_quotas = read_part<quota_usage>(in, left);
    m_cordons = read_part<hall_cordons>(in, left);
    for (queue_spec& queue : read_part<std::vector<queue_spec>>(in, left))
    {
        const std::string route = walkthread::route_of(queue);
        m_removed_queues.emplace(route, std::move(queue));
    }
    m_moved_routes = read_part<std::map<std::string, std::string>>(in, left);
    complete_routes();
}

bool workload_state::load(const std::string& bytes)
{
    workload_state loaded;
    try
    {
        value_reader in(bytes);
        loaded.read_snapshot(in);
    }
    catch (const std::exception&) // of msgpack: the bytes are no snapshot
    {
        return false;
    }
    loaded.m_worker_changes = m_worker_changes; // its version only ever increases
    loaded.rebuild_indexes();
    *this = std::move(loaded);
    return true;
}

} // namespace walkthread
