#define BOOST_TEST_MODULE wire
#include <boost/test/unit_test.hpp>

#include <walkthread/replication/messages.hpp>
#include <walkthread/wire/codec.hpp>
#include <walkthread/wire/frame.hpp>

using namespace walkthread;

namespace
{
std::string header(std::uint32_t length, char version)
{
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        out.push_back(static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xFFU));
    }
    out.push_back(version);
    return out;
}
} // namespace

BOOST_AUTO_TEST_CASE(variant_survives_encoding)
{
    const replica_message sent = append_request{term_id{3}, log_index{7}, term_id{2}, log_index{5}, 99, {}};
    const auto back = decode<replica_message>(encode(sent));
    BOOST_REQUIRE(ok(back));
    BOOST_TEST(std::get<append_request>(value_of(back)).previous_index.value() == 7U);
}

BOOST_AUTO_TEST_CASE(bad_bytes_are_errors_and_not_exceptions)
{
    BOOST_TEST((error_of(decode<replica_message>("")).code == wire_code::malformed));
    BOOST_TEST((error_of(decode<replica_message>("\xc1")).code == wire_code::malformed));
    BOOST_TEST(
        (error_of(decode<replica_message>(encode(std::string("text")))).code == wire_code::wrong_type));
    const std::string unknown = encode(std::vector<int>{200, 1});
    BOOST_TEST((error_of(decode<replica_message>(unknown)).code == wire_code::unknown_message));
    const std::string wrong_body = encode(std::vector<int>{2, 1});
    BOOST_TEST((error_of(decode<replica_message>(wrong_body)).code == wire_code::wrong_type));
}

BOOST_AUTO_TEST_CASE(an_array_that_claims_to_be_huge_allocates_nothing)
{
    const std::string huge{"\xdd\xff\xff\xff\xff", 5}; // an array of 4 billion elements
    BOOST_TEST((error_of(decode<std::vector<int>>(huge)).code == wire_code::malformed));
}

BOOST_AUTO_TEST_CASE(frames_are_reassembled_from_single_bytes)
{
    const std::string stream = make_frame("one") + make_frame("") + make_frame("three");
    frame_reader reader;
    std::vector<std::string> bodies;
    for (const char byte : stream)
    {
        reader.feed(std::string_view(&byte, 1));
        for (auto body = reader.next(); value_of(body); body = reader.next())
        {
            bodies.push_back(*value_of(body));
        }
    }
    BOOST_TEST(bodies == (std::vector<std::string>{"one", "", "three"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_frame_of_wrong_length_or_version_is_refused)
{
    frame_reader too_long;
    too_long.feed(header(max_frame_body + 1, frame_version));
    BOOST_TEST((error_of(too_long.next()).code == wire_code::frame_too_long));
    frame_reader old;
    old.feed(header(1, 9) + "x");
    BOOST_TEST((error_of(old.next()).code == wire_code::unknown_version));
}
