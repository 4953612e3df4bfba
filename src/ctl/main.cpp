// walkthreadctl: the operators' command line.

#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <walkthread/node/access.hpp>

#include "http_client.hpp"
#include "losses_command.hpp"
#include "output.hpp"
#include "replay_command.hpp"
#include "story_command.hpp"

namespace
{

using namespace walkthread;
using namespace walkthread::ctl;
using arguments = std::vector<std::string>;

// Exit codes, as documented in docs/OPERATIONS.md.
constexpr int exit_success = 0;
constexpr int exit_usage = 1;
constexpr int exit_rejected = 2;
constexpr int exit_unavailable = 3;
constexpr int exit_outcome_unknown = 4;

constexpr int status_timed_out = 504;
constexpr int status_unavailable = 503;
constexpr int status_first_error = 400;
constexpr std::chrono::milliseconds poll_interval{500};

constexpr const char* usage = R"(Commands:
  template put NAME FILE            create or change a template
  template list
  team put NAME FILE                create or change a team and its quota
  team list
  config submit NAME FILE           submit or change a configuration
  config list | config get NAME
  config withdraw NAME VERSION      withdraw a configuration and cancel its jobs
  config run NAME                   run a batch or gang configuration once more
  jobs list | jobs cancel ID...
  jobs wait ID...                   wait until jobs have ended
  explain ID                        why a job waits, was placed on its hosts, or stopped
  timeline [job ID | host ID | request ID]
  hosts list | hosts drain HALL ID | hosts return HALL ID
  halls list | halls cordon HALL | halls uncordon HALL
  groups                            leaders, members and lag
  members replace NODE              replace a node that lost its disk
  status                            whether this process is ready
  replay TRACE [POLICY...]          simulate scheduling of a recorded trace; needs no cell
  story ID LOG...                   log events of a submission on the users' platform; needs no cell
  losses LOG...                     late and unserved submissions by cause, from logs; needs no cell
  hash                              print the SHA-256 of a token read from standard input
FILE may be - for standard input.)";

struct options
{
    connection_options connection;
    std::string request_id;
    bool table = true;
    arguments command;
};

std::string random_request_id()
{
    std::random_device random;
    std::ostringstream out;
    out << std::hex << random() << '-' << random() << '-' << random();
    return out.str();
}

std::string first_line(std::istream& from)
{
    std::string line;
    std::getline(from, line);
    return line;
}

options read_options(int argc, char** argv)
{
    TCLAP::CmdLine line(std::string("walkthread operators' command line\n\n") + usage, ' ', "0.1.0");
    TCLAP::ValueArg<std::string> address("a", "address", "ip:port of any process", false, "127.0.0.1:8100",
                                         "address", line);
    TCLAP::ValueArg<std::string> token("t", "token-file", "File with the token; default: $WALKTHREAD_TOKEN",
                                       false, "", "file", line);
    TCLAP::ValueArg<std::string> request(
        "r", "request-id", "Id that makes retries idempotent; random by default", false, "", "id", line);
    TCLAP::ValuesConstraint<std::string>* forms = nullptr;
    arguments allowed{"table", "json"};
    TCLAP::ValuesConstraint<std::string> constraint(allowed);
    forms = &constraint;
    TCLAP::ValueArg<std::string> output("o", "output", "Output format", false, "table", forms, line);
    TCLAP::ValueArg<std::string> authority("", "ca", "CA certificate; implies --tls", false, "", "file",
                                           line);
    TCLAP::SwitchArg tls("", "tls", "Connect with TLS", line);
    TCLAP::UnlabeledMultiArg<std::string> command("command", "Command and its arguments", true, "words",
                                                  line);
    line.parse(argc, argv);
    options out;
    out.connection.address = address.getValue();
    out.connection.tls = tls.getValue() || authority.isSet();
    out.connection.certificate = authority.getValue();
    const char* from_environment = std::getenv("WALKTHREAD_TOKEN");
    out.connection.token = from_environment == nullptr ? "" : from_environment;
    if (token.isSet())
    {
        std::ifstream file(token.getValue());
        out.connection.token = first_line(file);
    }
    out.request_id = request.isSet() ? request.getValue() : random_request_id();
    out.table = output.getValue() == "table";
    out.command = command.getValue();
    return out;
}

int exit_code_of(const http_reply& reply)
{
    if (reply.status == status_timed_out)
    {
        return exit_outcome_unknown;
    }
    if (reply.status == 0 || reply.status == status_unavailable)
    {
        return exit_unavailable;
    }
    return reply.status >= status_first_error ? exit_rejected : exit_success;
}

int print_error(const options& given, const http_reply& reply)
{
    if (reply.status == 0)
    {
        std::cerr << "No answer from " << given.connection.address << ".\n";
        return exit_unavailable;
    }
    const auto body = nlohmann::json::parse(reply.body, nullptr, false);
    const bool readable = body.is_object() && body.contains("error") && given.table;
    if (readable)
    {
        std::cerr << "Error " << body["error"]["code"] << ": " << body["error"]["detail"].get<std::string>()
                  << '\n';
    }
    else
    {
        std::cerr << reply.body << '\n';
    }
    return exit_code_of(reply);
}

int send_and_print(const options& given, const std::string& method, const std::string& path,
                   const std::string& body = "")
{
    const http_reply reply = send_request(given.connection, method, path, body);
    if (exit_code_of(reply) != exit_success)
    {
        return print_error(given, reply);
    }
    print_document(reply.body, given.table);
    return exit_success;
}

// Reads a JSON body from a file or standard input; adds the request id if it has none.
std::string read_body(const options& given, const std::string& path)
{
    std::ostringstream text;
    if (path == "-")
    {
        text << std::cin.rdbuf();
    }
    else
    {
        std::ifstream file(path);
        text << file.rdbuf();
    }
    auto body = nlohmann::json::parse(text.str(), nullptr, false);
    if (!body.is_object())
    {
        return text.str();
    }
    if (!body.contains("request_id"))
    {
        body["request_id"] = given.request_id;
    }
    return body.dump();
}

int wait_for_jobs(const options& given)
{
    const bool terminal = ::isatty(STDERR_FILENO) == 1;
    while (true)
    {
        const http_reply reply = send_request(given.connection, "GET", "/v1/jobs", "");
        if (exit_code_of(reply) != exit_success)
        {
            return print_error(given, reply);
        }
        std::size_t running = 0;
        nlohmann::json selected = nlohmann::json::array();
        for (const auto& job : nlohmann::json::parse(reply.body))
        {
            const std::string id = std::to_string(job["job"].get<std::uint64_t>());
            if (std::find(given.command.begin() + 2, given.command.end(), id) != given.command.end())
            {
                running += job["outcome"] == "running" ? 1 : 0;
                selected.push_back(job);
            }
        }
        if (terminal)
        {
            std::cerr << '\r' << selected.size() - running << " of " << selected.size() << " jobs have ended "
                      << std::flush;
        }
        if (running == 0)
        {
            std::cerr << (terminal ? "\n" : "");
            print_document(selected.dump(), given.table);
            return exit_success;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

int cancel_listed_jobs(const options& given)
{
    nlohmann::json body{{"request_id", given.request_id}, {"jobs", nlohmann::json::array()}};
    for (std::size_t i = 2; i < given.command.size(); ++i)
    {
        body["jobs"].push_back(std::stoull(given.command[i]));
    }
    return send_and_print(given, "POST", "/v1/jobs/cancel", body.dump());
}

int print_timeline(const options& given)
{
    const arguments& c = given.command;
    const std::string filter = c.size() == 3 ? "?" + c[1] + "=" + c[2] : "";
    return send_and_print(given, "GET", "/v1/timeline" + filter);
}

int print_hash(const options&)
{
    std::cout << sha256_hex(first_line(std::cin)) << '\n';
    return exit_success;
}

struct command_entry
{
    std::size_t min_arguments;
    std::function<int(const options&)> run;
};

const std::map<std::string, command_entry>& two_word_commands()
{
    using o = const options&;
    static const std::map<std::string, command_entry> commands{
        {"template put",
         {4,
          [](o g)
          {
              return send_and_print(g, "PUT", "/v1/templates/" + g.command[2], read_body(g, g.command[3]));
          }}},
        {"template list",
         {2,
          [](o g)
          {
              return send_and_print(g, "GET", "/v1/templates");
          }}},
        {"team put",
         {4,
          [](o g)
          {
              return send_and_print(g, "PUT", "/v1/teams/" + g.command[2], read_body(g, g.command[3]));
          }}},
        {"team list",
         {2,
          [](o g)
          {
              return send_and_print(g, "GET", "/v1/teams");
          }}},
        {"config submit",
         {4,
          [](o g)
          {
              return send_and_print(g, "PUT", "/v1/configurations/" + g.command[2],
                                    read_body(g, g.command[3]));
          }}},
        {"config list",
         {2,
          [](o g)
          {
              return send_and_print(g, "GET", "/v1/configurations");
          }}},
        {"config get",
         {3,
          [](o g)
          {
              return send_and_print(g, "GET", "/v1/configurations/" + g.command[2]);
          }}},
        {"config withdraw",
         {4,
          [](o g)
          {
              return send_and_print(g, "DELETE",
                                    "/v1/configurations/" + g.command[2] +
                                        "?expected_version=" + g.command[3] + "&request_id=" + g.request_id);
          }}},
        {"config run",
         {3,
          [](o g)
          {
              return send_and_print(
                  g, "POST", "/v1/configurations/" + g.command[2] + "/runs?request_id=" + g.request_id);
          }}},
        {"jobs list",
         {2,
          [](o g)
          {
              return send_and_print(g, "GET", "/v1/jobs");
          }}},
        {"jobs cancel", {3, cancel_listed_jobs}},
        {"jobs wait", {3, wait_for_jobs}},
        {"hosts list",
         {2,
          [](o g)
          {
              return send_and_print(g, "GET", "/v1/hosts");
          }}},
        {"hosts drain",
         {4,
          [](o g)
          {
              return send_and_print(g, "POST", "/v1/hosts/" + g.command[3] + "/drain?hall=" + g.command[2]);
          }}},
        {"hosts return",
         {4,
          [](o g)
          {
              return send_and_print(g, "POST",
                                    "/v1/hosts/" + g.command[3] + "/drain?back=true&hall=" + g.command[2]);
          }}},
        {"halls list",
         {2,
          [](o g)
          {
              return send_and_print(g, "GET", "/v1/halls");
          }}},
        {"halls cordon",
         {3,
          [](o g)
          {
              return send_and_print(g, "POST", "/v1/halls/" + g.command[2] + "/cordon");
          }}},
        {"halls uncordon",
         {3,
          [](o g)
          {
              return send_and_print(g, "DELETE", "/v1/halls/" + g.command[2] + "/cordon");
          }}},
        {"members replace",
         {3,
          [](o g)
          {
              return send_and_print(g, "POST", "/v1/members/" + g.command[2] + "/replace");
          }}},
    };
    return commands;
}

const std::map<std::string, command_entry>& one_word_commands()
{
    using o = const options&;
    static const std::map<std::string, command_entry> commands{
        {"explain",
         {2,
          [](o g)
          {
              return send_and_print(g, "GET", "/v1/jobs/" + g.command[1] + "/explain");
          }}},
        {"timeline", {1, print_timeline}},
        {"groups",
         {1,
          [](o g)
          {
              return send_and_print(g, "GET", "/v1/groups");
          }}},
        {"status",
         {1,
          [](o g)
          {
              return send_and_print(g, "GET", "/readyz");
          }}},
        {"hash", {1, print_hash}},
        {"replay",
         {2,
          [](o g)
          {
              return run_replay({g.command.begin() + 1, g.command.end()}, g.table);
          }}},
        {"story",
         {2,
          [](o g)
          {
              return run_story({g.command.begin() + 1, g.command.end()}, g.table);
          }}},
        {"losses",
         {1,
          [](o g)
          {
              return run_losses({g.command.begin() + 1, g.command.end()}, g.table);
          }}},
    };
    return commands;
}

int run_command(const options& given)
{
    const arguments& c = given.command;
    const auto two = c.size() > 1 ? two_word_commands().find(c[0] + ' ' + c[1]) : two_word_commands().end();
    if (two != two_word_commands().end() && c.size() >= two->second.min_arguments)
    {
        return two->second.run(given);
    }
    const auto one = one_word_commands().find(c[0]);
    if (one != one_word_commands().end() && c.size() >= one->second.min_arguments)
    {
        return one->second.run(given);
    }
    std::cerr << "Unknown command or missing arguments.\n" << usage << '\n';
    return exit_usage;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run_command(read_options(argc, argv));
    }
    catch (const std::exception& failure)
    {
        std::cerr << "Error: " << failure.what() << '\n';
        return exit_usage;
    }
}
