// The metrics of core_node.

#include <walkthread/fabric/core_node.hpp>

namespace walkthread
{

void core_node::fill(metrics_page& page) const
{
    fabric_node::fill(page);
    const replica& core = m_replica->group().core();
    const auto gauge = [&page](const char* name, const char* help, std::uint64_t value)
    {
        page.add_gauge(name, help, static_cast<double>(value));
    };
    gauge("walkthread_term", "The replica's term.", core.term().value());
    gauge("walkthread_leads", "1 if this process leads.", m_dispatcher ? 1 : 0);
    gauge("walkthread_commit_index", "The last entry known to be committed.", core.commit_index().value());
    gauge("walkthread_voters", "Replicas that vote.", core.members().voters.size());
    gauge("walkthread_learners", "Replicas that stand by.", core.members().learners.size());
    gauge("walkthread_votes", "1 if this replica votes.", core.members().is_voter(core.self()) ? 1 : 0);
    gauge("walkthread_submissions_kept", "Submissions in the replicated state.",
          m_state.submissions().size());
    gauge("walkthread_steps_ready", "Steps with tasks that wait for a host.", m_state.ready().size());
    gauge("walkthread_steps_closed", "Those of them that no present host can take.",
          m_state.ready().size() - m_state.ready().open_steps());
    gauge("walkthread_suspects", "Tasks that may take down the hosts that they run on.",
          m_state.crashes().suspects().size());
    gauge("walkthread_workers", "Workers' lives in the replicated state.", m_state.workers().size());
    gauge("walkthread_halls_cordoned", "Halls in which nothing new starts.", m_state.cordons().all().size());
    page.add_count("walkthread_log_syncs_total", "Syncs of the log.",
                   static_cast<double>(m_replica->syncs()));
    gauge("walkthread_log_bytes", "Size of the log on the disk.", m_replica->storage().log_bytes());
    gauge("walkthread_log_limit_bytes", "Size at which the log is rewritten at the latest.",
          m_settings.storage.log_bytes);
    gauge("walkthread_state_bytes", "Memory that the replicated state takes up.", m_state.bytes());
    gauge("walkthread_state_limit_bytes", "Size of the state from which on submissions are refused.",
          m_settings.state.accept_bytes);
    page.add_count("walkthread_state_refusals_total", "Submissions refused because the state was full.",
                   static_cast<double>(m_state_refusals));
    page.add(m_commit_times.collect());
    fill_leading(page);
}

namespace
{
prometheus::MetricFamily collect_shares(const std::map<std::string, organisation_share>& shares)
{
    prometheus::MetricFamily out;
    out.name = "walkthread_organisation_usage_ratio";
    out.help = "Dominant share of the pool over the organisation's share by weight.";
    out.type = prometheus::MetricType::Gauge;
    for (const auto& [organisation, share] : shares)
    {
        prometheus::ClientMetric metric;
        metric.label = {{"organisation", organisation}};
        metric.gauge.value = share.entitled > 0.0 ? share.used / share.entitled : 0.0;
        out.metric.push_back(metric);
    }
    return out;
}
} // namespace

// Metrics that are counted from the start of the current leadership.
void core_node::fill_leading(metrics_page& page) const
{
    page.add_gauge("walkthread_advice_waiting", "Questions that wait for a process to ask them.",
                   static_cast<double>(m_advisor_queries.waiting()));
    page.add_gauge("walkthread_unheard_runs",
                   "Runs that count as running on workers not heard for longer than a lease.",
                   m_dispatcher ? static_cast<double>(m_dispatcher->runs_on_unresponsive_workers()) : 0.0);
    page.add_gauge("walkthread_workers_on_probation",
                   "Workers that get only work that no other worker takes.",
                   m_dispatcher ? static_cast<double>(m_dispatcher->workers_on_probation()) : 0.0);
    if (m_dispatcher && !m_dispatcher->shares().empty())
    {
        page.add({collect_shares(m_dispatcher->shares())});
    }
    page.add(m_start_waits.collect());
    page.add(m_advisor_query_times.collect());
    const dispatch_counters c = m_dispatcher ? m_dispatcher->counters() : dispatch_counters{};
    const auto count = [&page](const char* name, const char* help, std::uint64_t value)
    {
        page.add_count(name, help, static_cast<double>(value));
    };
    count("walkthread_advice_clients_examined_total", "Processes examined for questions to the advisor.",
          m_advisor_queries.clients_examined());
    count("walkthread_task_starts_total", "Orders to start a task.", c.starts);
    count("walkthread_task_starts_doubtful_total",
          "Starts planned on hosts where they are likely to fail, as no other host took them.",
          c.doubtful_starts);
    count("walkthread_task_ends_total", "Ends that workers listed.", c.ends);
    count("walkthread_task_starts_refused_total", "Orders that a worker refused.", c.refused_starts);
    count("walkthread_orders_unanswered_total", "Orders without an answer.", c.unanswered_orders);
    count("walkthread_orders_not_sent_total", "Orders that never left, for want of a connection.",
          c.unsent_orders);
    count("walkthread_workers_lost_total", "Workers' lives that were dropped.", c.lost_workers);
    count("walkthread_workers_restarted_total", "Workers that started again under the id that they had.",
          c.restarted_workers);
    count("walkthread_worker_views_synced_total", "Workers visited as workers were added or removed.",
          c.views_synced);
    count("walkthread_tasks_given_up_total", "Tasks given up as they crash the workers that start them.",
          c.tasks_given_up);
    count("walkthread_advice_questions_total", "Questions to the placement advisor.", c.questions);
    count("walkthread_preemptions_total", "Runs stopped for other work.", c.preemptions);
    count("walkthread_task_starts_withdrawn_total", "Orders not sent, or not again, as their worker leaves.",
          c.starts_withdrawn);
    count("walkthread_task_starts_before_report_total",
          "Orders to workers that had not reported to this leader yet.", c.starts_before_report);
}

} // namespace walkthread
