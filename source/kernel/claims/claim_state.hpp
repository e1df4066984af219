#ifndef CUMINFOLD_KERNEL_CLAIMS_CLAIM_STATE_HPP
#define CUMINFOLD_KERNEL_CLAIMS_CLAIM_STATE_HPP

#include "kernel/identifier.hpp"
#include "kernel/log/record_window.hpp"
#include "kernel/log_port.hpp"
#include "kernel/reason.hpp"
#include "kernel/record.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cuminfold
{

/// Where a claim stands.
enum class claim_phase
{
    open,     ///< the claimant may dispatch, or has
    answered, ///< it ran to its end
    unknown   ///< nobody saw its end
};

/// One claim that holds.
struct claim_entry
{
    claim_key key_;
    std::uint64_t body_digest_ = 0;
    request_id request_;
    /// The record that opened it; its writer alone may dispatch.
    record_id opened_;
    log_offset opened_offset_ = 0;
    claim_phase phase_ = claim_phase::open;
    /// The answer; its body only if `kept_`.
    std::uint32_t status_ = 0;
    std::string content_type_;
    bool kept_ = false;
    std::string answer_;
    /// Why the outcome is unknown.
    reason cause_ = reason::claimant_lost;
};

/// All that lasts of one shard: what a snapshot of its stream holds.
struct claim_data
{
    /// Offset of the next entry to fold.
    log_offset next_ = 0;
    record_window window_;
    std::map<claim_key, claim_entry> claims_;
    /// Claims opened before this offset are forgotten.
    log_offset forgotten_before_ = 0;
    /// Kinds of records that were met and are not known.
    std::set<std::string> unknown_kinds_;
};

/// The fold of one stream `claims-<k>`: a pure function of its entries.
///
/// Of two claims of a key the first holds. An abandoned claim frees its key,
/// on the word of the incarnation that opened it alone.
class claim_state
{
public:
    /// Folds the entry at `next()`; any other offset is ignored.
    void apply(log_entry const& entry);

    /// Replaces all by a snapshot.
    /// @return false, and changes nothing, if it is older than what is held.
    bool restore(claim_data data);

    claim_entry const* find(claim_key const& key) const;

    claim_data const& data() const noexcept
    {
        return data_;
    }
    log_offset next() const noexcept
    {
        return data_.next_;
    }

    /// Times that a record folded to nothing, by reason.
    std::uint64_t ignored(reason cause) const;

private:
    void fold(claim_opened const& body, record_id const& id, log_offset offset);
    void fold(claim_abandoned const& body, record_id const& id, log_offset);
    void fold(claim_answered const& body, record_id const& id, log_offset);
    void fold(claim_unknown const& body, record_id const& id, log_offset);
    void fold(claims_forgotten const& body, record_id const& id, log_offset);
    void fold(unknown_body const& body, record_id const& id, log_offset);
    template <class Other>
    void fold(Other const&, record_id const&, log_offset)
    {
        // Kinds of the other streams mean nothing here.
    }

    void ignore(reason cause);
    claim_entry* find_of(claim_key const& key, incarnation const& claimant);

    claim_data data_;
    /// Offset to the keys opened there, for forgetting.
    std::multimap<log_offset, claim_key> by_offset_;
    std::array<std::uint64_t, reason_count> ignored_{};
};

} // namespace cuminfold

#endif
