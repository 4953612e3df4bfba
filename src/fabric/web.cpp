#include <walkthread/fabric/web.hpp>

#include <boost/beast/core/string.hpp>

namespace walkthread
{

std::string_view web_request::header(std::string_view name) const
{
    for (const web_header& item : headers)
    {
        if (boost::beast::iequals({item.name.data(), item.name.size()}, {name.data(), name.size()}))
        {
            return item.value;
        }
    }
    return {};
}

} // namespace walkthread
