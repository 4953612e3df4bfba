#include <walkthread/fabric/message_counts.hpp>

#include <string>

namespace walkthread
{

namespace
{
// In the order of the alternatives of `mesh_message`.
constexpr std::array<const char*, std::variant_size_v<mesh_message>> kind_names{
    "greeting", "replica", "leader_query", "leader_status", "join_request", "call", "reply"};
constexpr std::array<const char*, 2> role_names{"edge", "core"};

prometheus::MetricFamily make_family(const char* name, const char* help)
{
    prometheus::MetricFamily out;
    out.name = name;
    out.help = help;
    out.type = prometheus::MetricType::Counter;
    return out;
}

void add_value(prometheus::MetricFamily& family, std::vector<prometheus::ClientMetric::Label> labels,
               std::uint64_t value)
{
    if (value == 0)
    {
        return;
    }
    prometheus::ClientMetric& metric = family.metric.emplace_back();
    metric.label = std::move(labels);
    metric.counter.value = static_cast<double>(value);
}
} // namespace

void message_counts::record_sent(std::size_t kind, std::size_t bytes)
{
    ++m_sent.at(kind).messages;
    m_sent.at(kind).bytes += bytes;
}

void message_counts::record_received(std::size_t kind, bool from_replica, std::size_t bytes)
{
    count& counted = m_received.at(kind).at(from_replica ? 1 : 0);
    ++counted.messages;
    counted.bytes += bytes;
}

std::uint64_t message_counts::received(std::size_t kind, bool from_replica) const
{
    return m_received.at(kind).at(from_replica ? 1 : 0).messages;
}

std::vector<prometheus::MetricFamily> message_counts::collect() const
{
    auto sent = make_family("walkthread_peer_messages_sent_total", "Messages to other processes.");
    auto sent_bytes =
        make_family("walkthread_peer_message_sent_bytes_total", "Bytes of messages to other processes.");
    auto received = make_family("walkthread_peer_messages_received_total", "Messages from other processes.");
    auto received_bytes = make_family("walkthread_peer_message_received_bytes_total",
                                      "Bytes of messages from other processes.");
    for (std::size_t kind = 0; kind < kinds; ++kind)
    {
        const std::string name = kind_names.at(kind);
        add_value(sent, {{"kind", name}}, m_sent.at(kind).messages);
        add_value(sent_bytes, {{"kind", name}}, m_sent.at(kind).bytes);
        for (std::size_t role = 0; role < role_names.size(); ++role)
        {
            const count& counted = m_received.at(kind).at(role);
            add_value(received, {{"kind", name}, {"from", role_names.at(role)}}, counted.messages);
            add_value(received_bytes, {{"kind", name}, {"from", role_names.at(role)}}, counted.bytes);
        }
    }
    return {sent, sent_bytes, received, received_bytes};
}

} // namespace walkthread
