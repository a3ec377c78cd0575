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

//! Resource kinds, as they stand in the API's paths.
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
    notSent, //!< the store was not reached: nothing happened
    unknown, //!< the call was cut: a write may have taken effect
    notFound,
    conflict, //!< the object has another version, or exists already
    expired,  //!< the watch's start version is too old; list again
    refused,  //!< the store said no (rate, fault, malformed)
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

//! What a watch is about: a kind, or one object of it.
struct Topic {
    std::string kind;
    std::string name; //!< empty: all objects of the kind
};

struct Listing {
    std::uint64_t version = 0; //!< the store's version at the time of the listing
    std::vector<Object> objects;
};

template <typename T>
using Result = boost::leaf::result<T>;

//! Lets another thread end a call that waits.
class CallControl {
public:
    //! Ends the bound call, and every call bound later.
    void cancel();
    //! Sets how to end the call in progress; calls it at once when already cancelled.
    void bind( std::function<void()> abort );
    void unbind();

private:
    std::mutex m_mutex;
    std::function<void()> m_abort;
    bool m_cancelled = false;
};

//! Takes an event; false ends the watch.
using EventHandler = std::function<bool( const WatchEvent& event )>;

//! The store's operations, as plain functions, so that tests put a fake in their place.
struct ObjectStore {
    std::function<Result<Object>( std::string_view kind, std::string_view name )> get;
    std::function<Result<Listing>( const Topic& topic )> list;
    std::function<Result<Object>( const Object& object )> create;
    //! Replaces the object if its version is still `object.version`.
    std::function<Result<Object>( const Object& object )> update;
    //! Streams the events behind a version, for at most `wait`; ends without error at its close.
    std::function<Result<void>( const Topic& topic, std::uint64_t version, Millis wait,
                                const EventHandler& handler, CallControl& control )>
        watch;
};

//! Calls made to the store, by outcome.
struct StoreStats {
    std::atomic<std::uint64_t> reads{ 0 };
    std::atomic<std::uint64_t> writes{ 0 };
    std::atomic<std::uint64_t> watches{ 0 };
    std::atomic<std::uint64_t> failures{ 0 };
};

//! The store behind a URL, over HTTP. `stats` must outlive the result.
ObjectStore httpStore( const std::string& url, StoreStats& stats );

//! A call's value, or its error when `ok` is false; see attempt().
template <typename T>
struct Attempt {
    bool ok = false;
    T value{};
    StoreError error;
};

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_STORE_HPP_INCLUDED
