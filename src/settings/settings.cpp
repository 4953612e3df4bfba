#include <walkthread/settings/settings.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

#include <walkthread/settings/reader.hpp>

namespace walkthread
{

namespace
{
constexpr std::int64_t max_node = 65535;
using detail::table_reader;
using errors = std::vector<settings_error>;

void read_node(table_reader& root, settings& out, errors& found)
{
    table_reader node(root.child("node"), "node", found);
    out.node = node_id{static_cast<std::uint16_t>(node.required_integer("id", 1, max_node))};
    out.hall = node.required_text("hall");
    out.data = node.text("data", "");
    for (const std::string& role : node.string_choices("roles", {"control", "gateway"}))
    {
        out.control |= role == "control";
        out.gateway |= role == "gateway";
    }
    if (out.control && out.data.empty())
    {
        node.fail("data", "", "a folder; a control node needs one");
    }
    node.report_unknown_keys();
}

void read_listen(table_reader& root, settings& out, errors& found)
{
    table_reader listen(root.child("listen"), "listen", found);
    out.operators = listen.address("operators", true);
    out.workers = listen.address("workers", false);
    listen.report_unknown_keys();
}

void read_cell(table_reader& root, settings& out, errors& found)
{
    table_reader cell(root.child("cell"), "cell", found);
    out.cell_secret = cell.required_text("secret");
    out.admin_token = cell.hash("admin_token_sha256");
    out.worker_token = cell.hash("worker_token_sha256");
    out.root_replicas = cell.nodes("root_replicas");
    out.platform = cell.address("platform", false);
    cell.report_unknown_keys();
}

void read_peers(table_reader& root, settings& out, errors& found)
{
    for (const toml::table* table : root.children("peer"))
    {
        table_reader peer(table, "peer", found);
        peer_settings item;
        item.node = node_id{static_cast<std::uint16_t>(peer.required_integer("id", 1, max_node))};
        item.address = peer.address("address", true);
        item.control = peer.flag("control", false);
        item.hall = peer.text("hall", "");
        peer.report_unknown_keys();
        if (out.find_peer(item.node) != nullptr)
        {
            peer.fail("id", std::to_string(item.node.value()) + " twice", "each node once");
        }
        out.peers.push_back(std::move(item));
    }
}

void read_halls(table_reader& root, settings& out, errors& found)
{
    for (const toml::table* table : root.children("hall"))
    {
        table_reader hall(table, "hall", found);
        hall_settings item;
        item.id = hall_id{static_cast<std::uint16_t>(out.halls.size() + 1)};
        item.name = hall.required_text("name");
        item.replicas = hall.nodes("replicas");
        hall.report_unknown_keys();
        out.halls.push_back(std::move(item));
    }
}

void read_organisations(table_reader& root, settings& out, errors& found)
{
    constexpr double least_weight = 0.01;
    constexpr double most_weight = 100.0;
    constexpr std::int64_t most_requests = 1'000'000;
    for (const toml::table* table : root.children("organisation"))
    {
        table_reader organisation(table, "organisation", found);
        organisation_settings item;
        item.id = organisation_id{static_cast<std::uint16_t>(out.organisations.size() + 1)};
        item.name = organisation.required_text("name");
        item.weight = organisation.number("weight", 1.0, least_weight, most_weight);
        item.operator_token = organisation.hash("operator_token_sha256");
        item.caller_token = organisation.hash("caller_token_sha256");
        item.callers = organisation.address("callers", false);
        item.max_requests = organisation.integer("max_requests", item.max_requests, 1, most_requests);
        item.requests_per_second =
            organisation.integer("requests_per_second", item.requests_per_second, 1, most_requests);
        organisation.report_unknown_keys();
        out.organisations.push_back(std::move(item));
    }
}

void read_timing(table_reader& root, settings& out, errors& found)
{
    table_reader timing(root.child("timing"), "timing", found);
    timing_settings& t = out.timing;
    const milliseconds hour{3'600'000};
    t.heartbeat = timing.duration_in_ms("heartbeat_ms", t.heartbeat, milliseconds(10), milliseconds(5000));
    t.election = timing.duration_in_ms("election_ms", t.election, milliseconds(50), milliseconds(60'000));
    t.worker_lease = timing.duration_in_ms("worker_lease_ms", t.worker_lease, milliseconds(500), hour);
    t.worker_poll = timing.duration_in_ms("worker_poll_ms", t.worker_poll, milliseconds(50), hour);
    t.feed = timing.duration_in_ms("feed_ms", t.feed, milliseconds(20), milliseconds(10'000));
    t.config_staleness =
        timing.duration_in_ms("config_staleness_ms", t.config_staleness, milliseconds(200), hour);
    t.endpoint_staleness =
        timing.duration_in_ms("endpoint_staleness_ms", t.endpoint_staleness, milliseconds(200), hour);
    t.service_drain = timing.duration_in_ms("service_drain_ms", t.service_drain, milliseconds(0), hour);
    t.balancer = timing.duration_in_ms("balancer_ms", t.balancer, milliseconds(0), hour);
    t.request = timing.duration_in_ms("request_ms", t.request, milliseconds(50), hour);
    t.key_window =
        seconds(timing.integer("key_window_s", t.key_window.count(), 1, std::int64_t{7} * 24 * 3600));
    t.tick = timing.duration_in_ms("tick_ms", t.tick, milliseconds(1), milliseconds(1000));
    if (t.election < 3 * t.heartbeat)
    {
        timing.fail("election_ms", std::to_string(t.election.count()), "at least three times heartbeat_ms");
    }
    if (t.worker_lease < 3 * t.worker_poll)
    {
        timing.fail("worker_lease_ms", std::to_string(t.worker_lease.count()),
                    "at least three times worker_poll_ms, so that a worker can try another gateway in time");
    }
    if (t.endpoint_staleness < 2 * t.feed || t.config_staleness < 2 * t.feed)
    {
        timing.fail("feed_ms", std::to_string(t.feed.count()),
                    "at most half of config_staleness_ms and of endpoint_staleness_ms");
    }
    timing.report_unknown_keys();
}

void read_limits(table_reader& root, settings& out, errors& found)
{
    table_reader limits(root.child("limits"), "limits", found);
    limit_settings& l = out.limits;
    l.body_bytes = limits.integer("body_bytes", l.body_bytes, 1024, std::int64_t{64} << 20U);
    l.http_threads = limits.integer("http_threads", l.http_threads, 2, 4096);
    l.http_queue = limits.integer("http_queue", l.http_queue, 1, 65536);
    l.worker_connections = limits.integer("worker_connections", l.worker_connections, 1, 64);
    l.timeline_events = limits.integer("timeline_events", l.timeline_events, 100, 1'000'000);
    limits.report_unknown_keys();
}

void read_tls_and_log(table_reader& root, settings& out, errors& found)
{
    table_reader tls(root.child("tls"), "tls", found);
    out.tls_certificate = tls.text("certificate", "");
    out.tls_key = tls.text("key", "");
    if (out.tls_certificate.empty() != out.tls_key.empty())
    {
        tls.fail("key", "only one of the two", "certificate and key together");
    }
    tls.report_unknown_keys();
    table_reader log(root.child("log"), "log", found);
    out.log_level = log.text("level", out.log_level);
    const std::vector<std::string> levels{"trace", "debug", "info", "warn", "error"};
    if (std::find(levels.begin(), levels.end(), out.log_level) == levels.end())
    {
        log.fail("level", out.log_level, "trace, debug, info, warn or error");
    }
    out.log_file = log.text("file", "");
    log.report_unknown_keys();
}

void check_replicas(const settings& s, const std::string& key, const std::vector<node_id>& nodes,
                    errors& found)
{
    for (const node_id node : nodes)
    {
        const peer_settings* peer = s.find_peer(node);
        if (peer == nullptr || !peer->control)
        {
            found.push_back({settings_code::bad_value, key + " names node " + std::to_string(node.value()) +
                                                           "; allowed: peers with control = true."});
        }
    }
    if (nodes.empty())
    {
        found.push_back({settings_code::bad_value, key + " is empty; allowed: at least one control node."});
    }
}

void check_consistency(const settings& s, errors& found)
{
    if (s.find_peer(s.node) == nullptr)
    {
        found.push_back({settings_code::bad_value,
                         "node.id is " + std::to_string(s.node.value()) + "; allowed: one of the peers."});
    }
    if (s.find_hall(s.hall) == nullptr)
    {
        found.push_back(
            {settings_code::bad_value, "node.hall is " + s.hall + "; allowed: the name of a hall."});
    }
    check_replicas(s, "cell.root_replicas", s.root_replicas, found);
    for (const hall_settings& hall : s.halls)
    {
        check_replicas(s, "hall.replicas", hall.replicas, found);
    }
    if (s.organisations.empty())
    {
        found.push_back({settings_code::bad_value, "organisation is missing; allowed: at least one."});
    }
}
} // namespace

const peer_settings* settings::find_peer(node_id id) const
{
    const auto same = [id](const peer_settings& p)
    {
        return p.node == id;
    };
    const auto found = std::find_if(peers.begin(), peers.end(), same);
    return found == peers.end() ? nullptr : &*found;
}

const hall_settings* settings::find_hall(std::string_view name) const
{
    const auto same = [name](const hall_settings& h)
    {
        return h.name == name;
    };
    const auto found = std::find_if(halls.begin(), halls.end(), same);
    return found == halls.end() ? nullptr : &*found;
}

const hall_settings* settings::find_hall(hall_id id) const
{
    const bool known = id.value() >= 1 && id.value() <= halls.size();
    return known ? &halls[id.value() - 1U] : nullptr;
}

const organisation_settings* settings::find_organisation(std::string_view name) const
{
    const auto same = [name](const organisation_settings& o)
    {
        return o.name == name;
    };
    const auto found = std::find_if(organisations.begin(), organisations.end(), same);
    return found == organisations.end() ? nullptr : &*found;
}

std::vector<group_id> settings::groups() const
{
    std::vector<group_id> out{root_group};
    for (const hall_settings& item : halls)
    {
        out.push_back(group_of(item.id));
    }
    return out;
}

const std::vector<node_id>& settings::replicas_of(group_id group) const
{
    return group == root_group ? root_replicas : halls.at(group.value() - 1U).replicas;
}

result<settings, std::vector<settings_error>> parse_settings(std::string_view toml_text)
{
    errors found;
    settings out;
    try
    {
        const toml::table table = toml::parse(toml_text);
        table_reader root(&table, "", found);
        read_node(root, out, found);
        read_listen(root, out, found);
        read_cell(root, out, found);
        read_peers(root, out, found);
        read_halls(root, out, found);
        read_organisations(root, out, found);
        read_timing(root, out, found);
        read_limits(root, out, found);
        read_tls_and_log(root, out, found);
        root.report_unknown_keys();
    }
    catch (const toml::parse_error& failure)
    {
        std::ostringstream where;
        where << failure.description() << " at " << failure.source().begin;
        return errors{{settings_code::malformed, where.str()}};
    }
    check_consistency(out, found);
    if (!found.empty())
    {
        return found;
    }
    return out;
}

result<settings, std::vector<settings_error>> load_settings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        return errors{{settings_code::unreadable, path + " cannot be read."}};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_settings(text.str());
}

} // namespace walkthread
