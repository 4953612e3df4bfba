#include <walkthread/workload/task_table.hpp>

#include <algorithm>
#include <tuple>

namespace walkthread
{

namespace
{
bool has_begun(const work_task& task)
{
    return task.run > 0 || task.state() != work_phase::waiting;
}
} // namespace

task_table::task_table(const std::vector<work_task>& tasks)
    : m_count(static_cast<std::uint32_t>(tasks.size()))
{
    for (std::uint32_t index = 0; index < m_count; ++index)
    {
        m_begun = has_begun(tasks[index]) ? index + 1 : m_begun;
    }
    for (std::uint32_t index = 0; index < m_begun; ++index)
    {
        if (tasks[index].state() != work_phase::completed)
        {
            m_records.emplace(index, tasks[index]);
        }
    }
    count_records();
}

const work_task& task_table::waiting_task()
{
    static const work_task task{};
    return task;
}

const work_task& task_table::completed_task()
{
    static const work_task task = []
    {
        work_task out;
        out.phase = static_cast<std::uint8_t>(work_phase::completed);
        return out;
    }();
    return task;
}

const work_task& task_table::operator[](std::uint32_t index) const
{
    if (index >= m_begun)
    {
        return waiting_task();
    }
    const auto found = m_records.find(index);
    return found == m_records.end() ? completed_task() : found->second;
}

work_task& task_table::record_of(std::uint32_t index)
{
    for (; m_begun <= index; ++m_begun)
    {
        m_records.emplace_hint(m_records.end(), m_begun, work_task{});
    }
    return m_records.at(index);
}

void task_table::start(std::uint32_t index, std::uint32_t run, worker_incarnation_id worker)
{
    work_task& task = record_of(index);
    task.phase = static_cast<std::uint8_t>(work_phase::active);
    task.run = run;
    task.worker = worker;
    ++m_active;
}

void task_table::end(std::uint32_t index, run_end how)
{
    work_task& task = record_of(index);
    task.phase = static_cast<std::uint8_t>(work_phase::waiting);
    task.last_end = static_cast<std::uint8_t>(how);
    --m_active;
}

void task_table::move(std::uint32_t index, worker_incarnation_id worker)
{
    record_of(index).worker = worker;
}

void task_table::count_failure(std::uint32_t index, worker_incarnation_id worker)
{
    work_task& task = record_of(index);
    ++task.failures;
    task.failed_on = worker;
}

void task_table::set_checkpoint(std::uint32_t index, const std::string& checkpoint)
{
    std::string& stored = record_of(index).checkpoint;
    m_checkpoint_bytes = m_checkpoint_bytes - stored.size() + checkpoint.size();
    stored = checkpoint;
}

void task_table::complete(std::uint32_t index)
{
    const work_task& task = record_of(index);
    m_active -= task.state() == work_phase::active ? 1 : 0;
    m_checkpoint_bytes -= task.checkpoint.size();
    m_records.erase(index);
}

void task_table::count_records()
{
    m_active = 0;
    m_checkpoint_bytes = 0;
    for (const auto& [index, task] : m_records)
    {
        m_active += task.state() == work_phase::active ? 1 : 0;
        m_checkpoint_bytes += task.checkpoint.size();
    }
}

void task_table::msgpack_unpack(const msgpack::object& from)
{
    std::tuple<std::uint32_t, std::uint32_t, std::map<std::uint32_t, work_task>> stored;
    from.convert(stored);
    std::tie(m_count, m_begun, m_records) = std::move(stored);
    const bool consistent = m_begun <= m_count && (m_records.empty() || m_records.rbegin()->first < m_begun);
    if (!consistent)
    {
        throw msgpack::type_error();
    }
    count_records();
}

} // namespace walkthread
