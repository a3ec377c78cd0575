// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLATFORM_STORE_HPP_INCLUDED
#define COURSEHEAD_PLATFORM_STORE_HPP_INCLUDED

#include "coursehead/kernel/clock.hpp"

#include <boost/leaf/result.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

//! The platform's object API: versioned objects, conditional updates and watches.
namespace coursehead::platform {

//! Resource kinds as spelt in the API's paths.
inline constexpr std::string_view configKind = "configs";
inline constexpr std::string_view leaseKind = "leases";
inline constexpr std::string_view epochKind = "epochs";
inline constexpr std::string_view vmKind = "vms";

//! A stored object. `spec` is JSON text; `version` is the store's resourceVersion.
struct Object {
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    std::string spec;
};

enum class StoreFailure {
    notSent, //!< the request was not sent, so the store did nothing
    unknown, //!< the call was interrupted; a write may have taken effect
    notFound,
    conflict, //!< the object has a different version, or already exists
    expired,  //!< the start version of the watch is too old; list again
    refused,  //!< the store rejected the call (rate limit, fault or malformed request)
};

//! A failed call.
struct StoreError {
    StoreFailure failure = StoreFailure::unknown;
    std::string detail;
};

enum class EventType { added, modified, removed, bookmark };

struct WatchEvent {
    EventType type = EventType::modified;
    Object object;
};

//! The scope of a list or watch call: all objects of a kind, or one of them.
struct Topic {
    std::string kind;
    std::string name; //!< empty for all objects of the kind
};

struct Listing {
    std::uint64_t version = 0; //!< store version at the time of the listing
    std::vector<Object> objects;
};

template <typename T>
using Result = boost::leaf::result<T>;

//! Lets another thread cancel a blocking call.
class CallControl {
public:
    //! Aborts the bound call and every call that is bound later.
    void cancel();
    //! Sets the function that aborts the call in progress; runs it at once if already cancelled.
    void bind( std::function<void()> abort );
    void unbind();

private:
    std::mutex m_mutex;
    std::function<void()> m_abort;
    bool m_cancelled = false;
};

//! Handles an event; returning false ends the watch.
using EventHandler = std::function<bool( const WatchEvent& event )>;

//! The store's operations as function objects, so that tests can replace them with a fake.
struct ObjectStore {
    std::function<Result<Object>( std::string_view kind, std::string_view name )> get;
    std::function<Result<Listing>( const Topic& topic )> list;
    std::function<Result<Object>( const Object& object )> create;
    //! Replaces the object if its version is still `object.version`.
    std::function<Result<Object>( const Object& object )> update;
    //! Streams the events after a version for at most `wait`. The end of the stream is no error.
    std::function<Result<void>( const Topic& topic, std::uint64_t version, Millis wait,
                                const EventHandler& handler, CallControl& control )>
        watch;
};

//! Counts of the calls made to the store, by operation, and of the failed ones.
struct StoreStats {
    std::atomic<std::uint64_t> reads{ 0 };
    std::atomic<std::uint64_t> writes{ 0 };
    std::atomic<std::uint64_t> watches{ 0 };
    std::atomic<std::uint64_t> failures{ 0 };
};

//! Returns an HTTP client of the store at a URL. `stats` must outlive the result.
ObjectStore httpStore( const std::string& url, StoreStats& stats );

//! The value of a call, or its error if `ok` is false; see attempt().
template <typename T>
struct Attempt {
    bool ok = false;
    T value{};
    StoreError error;
};

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_STORE_HPP_INCLUDED
