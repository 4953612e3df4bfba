#include <walkthread/node/http_responses.hpp>

#include <walkthread/node/documents.hpp>

namespace walkthread
{

http_response error_response(int status, int code, const std::string& detail)
{
    http_response out;
    out.status = status;
    out.body = error_document(code, detail);
    if (status == http_status::unavailable)
    {
        out.headers.emplace_back("Retry-After", "1");
    }
    return out;
}

http_response error_response(int status, node_code code, const std::string& detail)
{
    return error_response(status, static_cast<int>(code), detail);
}

http_response ok_response(std::string body, std::string content_type)
{
    http_response out;
    out.body = std::move(body);
    out.content_type = std::move(content_type);
    return out;
}

} // namespace walkthread
