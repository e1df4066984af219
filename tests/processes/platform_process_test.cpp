#include "child_process.hpp"
#include "http_caller.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

using namespace cuminfold;

// Guards against a stand-in that ends by itself: a read's timer had expired
// when an append answered the read, and answered it again.
TEST_CASE("reads whose wait ends beside an append are answered once")
{
    auto const folder = std::filesystem::temp_directory_path() /
                        ("cuminfold-platform." + std::to_string(getpid()));
    std::filesystem::create_directory(folder);
    auto const file = (folder / "platform.yaml").string();
    std::ofstream(file) << "listen: 127.0.0.1:0\n";
    child_process program(CUMINFOLD_PLATFORM, {"--config", file},
                          (folder / "errors").string());
    auto const address = program.next_address();
    http_caller client;
    // Reads begin, and appends are carried out, this long after they arrive.
    constexpr std::chrono::milliseconds delay{4};
    client.call(address, "POST", "/v1/faults",
                "{\"log_delay_ms\": " + std::to_string(delay.count()) + "}");
    http_call read;
    read.address_ = address;
    read.method_ = "GET";
    read.target_ = "/v1/streams/s/entries?from=1000000&limit=1&wait_ms=" +
                   std::to_string(delay.count());
    http_call append;
    append.address_ = address;
    append.method_ = "POST";
    append.target_ = "/v1/streams/s/entries";
    append.body_ = "x";
    constexpr int rounds = 400;
    constexpr std::size_t reads = 10;
    for (int round = 0; round < rounds; ++round)
    {
        std::vector<std::future<http_result>> calls(reads);
        for (auto& call : calls)
        {
            call = client.start(read);
        }
        // The appends are due when the waits end, or shortly before.
        std::this_thread::sleep_for(delay -
                                    std::chrono::microseconds{round % 10 * 50});
        for (int i = 0; i < 5; ++i)
        {
            calls.push_back(client.start(append));
        }
        for (auto& call : calls)
        {
            REQUIRE(call.get().end_ == http_end::whole);
        }
    }
    program.terminate();
    CHECK(program.wait() == 0);
    std::filesystem::remove_all(folder);
}
