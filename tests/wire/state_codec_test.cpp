#include "wire/state_codec.hpp"

#include "config/merge_files.hpp"
#include "kernel/hash.hpp"
#include "kernel/log/fake_log.hpp"
#include "kernel/snapshot/fleet_view.hpp"
#include "kernel/streams.hpp"
#include "property.hpp"

#include <map>
#include <string>
#include <vector>

using namespace cuminfold;
using std::chrono::seconds;

namespace
{

using log_map = std::map<stream_name, fake_log>;

std::string pools_text(std::uint32_t size)
{
    return "pools: {a: {size: " + std::to_string(size) +
           "}, b: {size: 4}}\n"
           "budgets: {a: {need: 1, reserve: none}}\n";
}

/// Builds both streams, record by record, as writers would.
struct writer
{
    void change(std::uint32_t size)
    {
        config_change change;
        change.author_ = "op";
        change.edits_.push_back(
            {file_name{"a.yaml"}, false, pools_text(size), revision_});
        revision_ = logs_[config_stream()].append(
            {{{self_, ++sequence_}, record_version, no_offset, change}});
    }

    void write(record_body body)
    {
        logs_[fleet_stream()].append({{{self_, ++sequence_},
                                       record_version,
                                       revision_,
                                       std::move(body)}});
    }

    void write_unnamed(record_body body)
    {
        logs_[fleet_stream()].append({{{self_, ++sequence_},
                                       record_version,
                                       no_offset,
                                       std::move(body)}});
    }

    /// One record, by a number drawn at random.
    void draw(std::uint32_t number)
    {
        vm_id const vm{"vm-" + std::to_string(number / 8 % 6)};
        pool_name const pool{number % 3 == 0 ? "a" : "b"};
        generation const expected = number / 64 % 24;
        switch (number % 8)
        {
        case 0:
            change(number % 100 + 1);
            break;
        case 1:
            write(vm_added{vm, "127.0.0.1:2", data_centre_name{"dc"},
                           rack_name{"r"}, vm_shape{16, 65536, 0, 8, 64}});
            break;
        case 2:
            write(vm_assigned{vm, expected, pool, "drawn"});
            break;
        case 3:
            write(drain_granted{vm, expected, wave_name{"w"}});
            break;
        case 4:
            write(gateway_registered{data_centre_name{"dc"}, "127.0.0.1:1"});
            break;
        case 5:
            write_unnamed(vm_health{vm, expected, number % 2 == 0});
            break;
        case 6:
            write(job_submitted{job_id{std::to_string(number % 50)}, {}, {}});
            break;
        default:
            write(jobs_cancelled{{job_id{std::to_string(number % 50)}}});
            break;
        }
    }

    incarnation self_{node_id{"w"}, 1};
    std::uint64_t sequence_ = 0;
    log_offset revision_ = no_offset;
    log_map logs_;
};

fleet_view make_view()
{
    return fleet_view({}, &merge_files, make_state_codec(), true);
}

void follow(fleet_view& view, log_map& logs, int rounds = 12)
{
    for (int i = 0; i < rounds; ++i)
    {
        time_point const now{seconds{5 * (i + 1)}};
        for (auto const& read : view.poll(now))
        {
            view.take(now, logs[read.stream_].read(read));
        }
    }
}

/// Appends a snapshot of a view, as the duty does.
void snapshot(fleet_view const& view, log_map& logs, stream_name const& stream)
{
    log_offset const next =
        stream == config_stream() ? view.config().next() : view.fleet().next();
    std::uint64_t sequence = 0;
    for (auto& chunk : split_snapshot(stream, next, view.encode(stream)))
    {
        logs[snapshot_stream(stream)].append(
            {{{{node_id{"s"}, next + 1}, ++sequence},
              record_version,
              no_offset,
              std::move(chunk)}});
    }
}

void snapshot_both(fleet_view const& view, log_map& logs)
{
    snapshot(view, logs, config_stream());
    snapshot(view, logs, fleet_stream());
}

std::uint64_t digest(fleet_view const& view)
{
    return stable_hash(view.encode(fleet_stream()),
                       stable_hash(view.encode(config_stream())));
}

/// A log whose first entries are only in a snapshot.
writer make_retained(std::uint32_t first, std::uint32_t second)
{
    writer w;
    w.change(4);
    for (std::uint32_t i = 0; i < first; ++i)
    {
        w.draw(i * 7 + 1);
    }
    auto view = make_view();
    follow(view, w.logs_);
    snapshot_both(view, w.logs_);
    for (std::uint32_t i = 0; i < second; ++i)
    {
        w.draw(i * 11 + 2);
    }
    return w;
}

} // namespace

TEST_CASE("a reader from a snapshot and one from the start agree")
{
    check_property("equal digests",
                   [](std::vector<std::uint32_t> const& before,
                      std::vector<std::uint32_t> const& after)
                   {
                       writer w;
                       w.change(4);
                       for (auto const number : before)
                       {
                           w.draw(number);
                       }
                       auto from_start = make_view();
                       follow(from_start, w.logs_);
                       RC_ASSERT(from_start.known());
                       snapshot_both(from_start, w.logs_);
                       log_offset const config_next =
                           from_start.config().next();
                       log_offset const fleet_next = from_start.fleet().next();
                       for (auto const number : after)
                       {
                           w.draw(number);
                       }
                       follow(from_start, w.logs_);
                       w.logs_[config_stream()].drop_before(config_next);
                       w.logs_[fleet_stream()].drop_before(fleet_next);
                       auto from_snapshot = make_view();
                       follow(from_snapshot, w.logs_);
                       RC_ASSERT(from_snapshot.known());
                       RC_ASSERT(from_snapshot.fleet().next() ==
                                 from_start.fleet().next());
                       RC_ASSERT(digest(from_snapshot) == digest(from_start));
                   });
}

TEST_CASE("a grant is judged by the budget of its floor, also after a snapshot")
{
    // The config snapshot is newer than the fleet's floor: without the pinned
    // configuration the grant would be judged by another budget.
    auto const grant = [](bool from_snapshot)
    {
        writer w;
        w.change(4);
        w.write(vm_added{vm_id{"vm-1"}, "127.0.0.1:2", data_centre_name{"dc"},
                         rack_name{"r"}, vm_shape{}});
        w.write(vm_assigned{vm_id{"vm-1"}, 1, pool_name{"a"}, ""});
        auto view = make_view();
        follow(view, w.logs_);
        snapshot(view, w.logs_, fleet_stream());
        config_change none;
        none.edits_.push_back({file_name{"a.yaml"}, false,
                               "pools: {a: {size: 4}}\n", w.revision_});
        w.logs_[config_stream()].append(
            {{{w.self_, ++w.sequence_}, record_version, no_offset, none}});
        for (int i = 0; i < 300; ++i)
        {
            config_change more;
            more.edits_.push_back({file_name{"b.yaml"}, false,
                                   "pools: {c: {size: 4}}\n",
                                   i == 0 ? no_offset : log_offset(i + 1)});
            w.logs_[config_stream()].append(
                {{{w.self_, ++w.sequence_}, record_version, no_offset, more}});
        }
        follow(view, w.logs_);
        snapshot(view, w.logs_, config_stream());
        // Names the configuration that the floor is at.
        w.write_unnamed(drain_granted{
            vm_id{"vm-1"}, view.fleet().vms().find(vm_id{"vm-1"})->generation_,
            wave_name{"w"}});
        if (from_snapshot)
        {
            w.logs_[config_stream()].drop_before(view.config().next());
            w.logs_[fleet_stream()].drop_before(view.fleet().next());
            auto fresh = make_view();
            follow(fresh, w.logs_, 20);
            REQUIRE(fresh.known());
            return fresh.fleet().vms().find(vm_id{"vm-1"})->phase_;
        }
        follow(view, w.logs_);
        return view.fleet().vms().find(vm_id{"vm-1"})->phase_;
    };
    CHECK(grant(false) == vm_phase::serving);
    CHECK(grant(true) == vm_phase::serving);
}

TEST_CASE("a torn or corrupt snapshot is passed over for the one before")
{
    struct row
    {
        char const* what_;
        void (*spoil_)(snapshot_chunk&);
    };
    for (auto const& row :
         {row{"another byte", [](snapshot_chunk& c) { c.bytes_[0] ^= 1; }},
          row{"truncated", [](snapshot_chunk& c) { c.bytes_.pop_back(); }},
          row{"one chunk missing", [](snapshot_chunk& c) { ++c.count_; }},
          row{"a size that is a lie",
              [](snapshot_chunk& c) { c.count_ = 0xffffffff; }},
          row{"an index beyond the count",
              [](snapshot_chunk& c) { c.index_ = c.count_ + 7; }},
          row{"not a state", [](snapshot_chunk& c)
              {
                  c.bytes_ = "garbage";
                  c.digest_ = stable_hash(c.bytes_);
              }}})
    {
        CAPTURE(row.what_);
        writer w = make_retained(40, 40);
        auto start = make_view();
        follow(start, w.logs_);
        auto chunks = split_snapshot(fleet_stream(), start.fleet().next(),
                                     start.encode(fleet_stream()));
        REQUIRE(chunks.size() == 1);
        row.spoil_(chunks[0]);
        w.logs_[snapshot_stream(fleet_stream())].append(
            {{{{node_id{"t"}, 1}, 1}, record_version, no_offset, chunks[0]}});
        w.logs_[fleet_stream()].drop_before(1);
        auto fresh = make_view();
        follow(fresh, w.logs_);
        CHECK(fresh.known());
        CHECK(digest(fresh) == digest(start));
    }
}

TEST_CASE("without a usable snapshot a gap is never skipped")
{
    writer w = make_retained(20, 20);
    w.logs_.erase(snapshot_stream(fleet_stream()));
    w.logs_[fleet_stream()].drop_before(3);
    auto fresh = make_view();
    follow(fresh, w.logs_);
    CHECK_FALSE(fresh.known());
    CHECK(fresh.fleet().next() == 0);
    // A snapshot that does not reach what is kept does not help either.
    auto start = make_retained(20, 20);
    w.logs_[snapshot_stream(fleet_stream())] =
        start.logs_[snapshot_stream(fleet_stream())];
    w.logs_[fleet_stream()].drop_before(30);
    follow(fresh, w.logs_);
    CHECK_FALSE(fresh.known());
}

TEST_CASE("with the log down the highest state of all peers is taken")
{
    writer w = make_retained(30, 0);
    auto older = make_view();
    follow(older, w.logs_);
    for (std::uint32_t i = 0; i < 20; ++i)
    {
        w.draw(i * 13 + 3);
    }
    auto newer = make_view();
    follow(newer, w.logs_);
    auto fresh = make_view();
    time_point now{seconds{1}};
    CHECK_FALSE(fresh.known());
    auto const requests = fresh.ask_peers(now);
    REQUIRE(requests.size() == 2);
    std::uint64_t peer = 0;
    for (auto const* view : {&newer, &older})
    {
        ++peer;
        for (auto const& request : requests)
        {
            for (auto& chunk : view->answer(request))
            {
                fresh.take(now, state_reply{{node_id{"p"}, peer}, chunk});
            }
        }
    }
    fresh.pass(now);
    CHECK_FALSE(fresh.known());
    fresh.pass(now + seconds{1});
    CHECK(fresh.known());
    CHECK(digest(fresh) == digest(newer));
    CHECK(fresh.ask_peers(now + seconds{5}).empty());
    // A peer that knows less than is held does not take it back.
    for (auto& chunk : older.answer({fleet_stream(), 0}))
    {
        fresh.take(now, state_reply{{node_id{"p"}, 9}, chunk});
    }
    fresh.pass(now + seconds{9});
    CHECK(digest(fresh) == digest(newer));
    // The log is back: it goes on from there.
    w.draw(1);
    follow(newer, w.logs_);
    follow(fresh, w.logs_);
    CHECK(digest(fresh) == digest(newer));
}

TEST_CASE("a fleet entry whose configuration is gone waits and is not guessed")
{
    writer w;
    w.change(4);
    for (std::uint32_t i = 0; i < 8; ++i)
    {
        w.write(vm_added{vm_id{"vm-" + std::to_string(i)},
                         "",
                         data_centre_name{"dc"},
                         rack_name{"r"},
                         {}});
    }
    for (std::uint32_t i = 0; i < 300; ++i)
    {
        w.change(i + 5);
    }
    auto start = make_view();
    follow(start, w.logs_);
    snapshot(start, w.logs_, config_stream());
    w.logs_[config_stream()].drop_before(start.config().next());
    auto fresh = make_view();
    follow(fresh, w.logs_);
    CHECK_FALSE(fresh.known());
    CHECK(fresh.fleet().next() == 0);
    snapshot(start, w.logs_, fleet_stream());
    follow(fresh, w.logs_);
    CHECK(fresh.known());
    CHECK(digest(fresh) == digest(start));
}
