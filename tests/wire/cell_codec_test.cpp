#include "wire/cell_codec.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>

using namespace cuminfold;

namespace
{

/// Whether the encoded text names the field.
bool has_field(std::string const& bytes, std::string const& name)
{
    return bytes.find(static_cast<char>(0x60 + name.size()) + name) !=
           std::string::npos;
}

} // namespace

// Guards against records and messages that a program without workspaces cannot
// read, in a deployment without them.
TEST_CASE("fields of workspaces are written only where there are workspaces")
{
    job_definition job;
    job_progress progress;
    client_call call;
    CHECK_FALSE(has_field(encode_job(job), "ws"));
    CHECK_FALSE(has_field(encode_progress(progress), "ws"));
    CHECK_FALSE(has_field(encode_call(call), "key"));
    CHECK(decode_job(encode_job(job)).workspace_ == nullptr);
    CHECK_FALSE(decode_call(encode_call(call)).credential_);

    auto const name = std::make_shared<workspace_name const>("a");
    job.workspace_ = name;
    progress.workspace_ = name;
    call.credential_ = credential{credential_kind::key, key_digest{"d"}};
    CHECK(*decode_job(encode_job(job)).workspace_ == *name);
    CHECK(*decode_progress(encode_progress(progress)).workspace_ == *name);
    auto const read = decode_call(encode_call(call)).credential_;
    REQUIRE(read);
    CHECK(read->kind_ == credential_kind::key);
    CHECK(read->digest_ == key_digest{"d"});
}
