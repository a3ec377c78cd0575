// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EXCHANGE_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EXCHANGE_HPP_INCLUDED

#include "coursehead/kernel/random.hpp"
#include "coursehead/metrics/metrics.hpp"
#include "gateway/client_end.hpp"
#include "gateway/client_timeouts.hpp"
#include "gateway/event_stream.hpp"
#include "gateway/fleet.hpp"
#include "gateway/limit_client.hpp"
#include "gateway/poison_guard.hpp"
#include "gateway/prompt_permit.hpp"
#include "gateway/quota_client.hpp"
#include "gateway/retry_window.hpp"
#include "platform/headers.hpp"
#include "platform/node_settings.hpp"

#include <boost/beast/http/fields.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace coursehead::gateway {

namespace http = boost::beast::http;

//! What all requests of a gateway share.
struct SharedState {
    net::asio::io_context& context;
    Fleet& fleet;
    RandomSource& random;
    metrics::Metrics& metrics;
    platform::Bounds bounds;
    std::shared_ptr<const RouteTable> table;    //!< null until a configuration is known
    std::map<std::string, RetryWindow> retries; //!< by service
    std::size_t inFlight = 0;
    QuotaClient* quota = nullptr;        //!< null: nobody's requests are counted
    LimitClient* limits = nullptr;       //!< null: upstreams' limits are not kept
    PoisonGuard* poison = nullptr;       //!< null: nothing is quarantined
    MonoTime started = MonoClock::now(); //!< this process
    bool listed = true;                  //!< the upstreams are known
    int starting = 0;                    //!< requests that wait for configuration and upstreams
    bool configurationUpToDate = true;   //!< changes of the configuration are heard of
    bool draining = false;
    MonoTime stopAt{};                    //!< when draining: nothing may be in flight any more
    bool pastHandover = false;            //!< when draining: clients had time to go elsewhere
    bool sendsEnded = false;              //!< too late for a send: the process is about to stop
    std::set<net::Socket*> idleClients{}; //!< kept connections without a request
};

//! A request as it came from the client.
struct ClientRequest {
    std::string method;
    std::string target;
    http::fields fields;
    std::string body;
    platform::RequestHead head;
    MonoTime arrived; //!< when its first bytes came
};

//! An answer that is sent in one go.
struct WholeAnswer {
    unsigned status = 0;
    std::string reason;
    http::fields fields;
    std::string body;
    bool own = false; //!< made here, not by an upstream
};

//! One send of a request; see transfer.hpp.
struct Transfer;

//! When a client is to come back where a model has to be loaded first, or no configuration is known
//! yet: about the time that a load, or an outage of the store, takes.
inline constexpr Millis modelRetryAfter{ 1000 };
//! When a refused client is to come back, unless the upstream said when.
inline constexpr Millis defaultRetryAfter{ 300 };
//! Pause until it is looked again whether a process that has just started knows enough.
inline constexpr Millis startLook{ 10 };

//! Time kept back for the last answer: a request that reaches its limit gets it in time.
inline constexpr Millis answerMargin{ 30 };

//! How a client that is not known is told to show its key.
inline constexpr std::string_view keyChallenge = "Bearer";

//! How a request ended towards its client.
struct ExchangeResult {
    bool keepAlive = true; //!< the client's connection may serve another request
};

//! Serves one request: chooses upstreams, sends, retries, and answers the client.
class Exchange {
public:
    Exchange( SharedState& shared, ClientRequest request, std::shared_ptr<ClientEnd> client,
              bool clientKeepsAlive );
    ~Exchange();
    Exchange( const Exchange& ) = delete;
    Exchange& operator=( const Exchange& ) = delete;

    net::Task<ExchangeResult> run();

private:
    //! How one send to an upstream ended.
    enum class SendOutcome {
        answered,  //!< m_answer holds the whole answer
        streamed,  //!< the client has the whole stream
        notRun,    //!< it was not run, and never will be
        lost,      //!< it may have run; no usable answer
        streamCut, //!< part of a stream was passed on, then it broke
        stopped,   //!< the client left or the time is over
    };
    struct SendResult {
        SendOutcome end = SendOutcome::lost;
        std::string why;
        bool connectionBroke = false; //!< the connection ended under it
    };

    //! What follows on a choice of upstream.
    enum class Next {
        send,      //!< all is there, and the engine takes the prompt now
        again,     //!< what is known has changed: choose once more
        elsewhere, //!< not there
        stop,      //!< it can't be served in time by any
    };

    //! A process that has just started knows neither configuration nor upstreams: waits a little.
    net::Task<> waitForStart();
    //! Finds route and organisation, or refuses.
    net::Task<bool> admit();
    //! Takes what it counts from its organisation's quota, or refuses.
    net::Task<bool> charge();
    decide::Fingerprint fingerprint() const;
    //! Refuses a request whose content ends what runs it.
    net::Task<bool> refuseQuarantined();
    //! True when its content may be sent, as far as upstreams that ended under it go.
    bool contentMayBeSent();
    //! What a send showed of the request's content.
    void recordPoisonEvidence( const NodePtr& node, const SendResult& sent, MonoTime now );
    net::Task<> forward();
    //! Nothing is left that it could go to: notes why, and when to come back.
    void noteNoChoice( const Choice& choice );
    //! Waits a little until an upstream that was in a back-off takes one more.
    net::Task<Next> waitForTurn( const Choice& choice );
    //! Obtains what the request needs at the chosen upstream.
    net::Task<Next> prepare( Choice& choice );
    Next sendUnasked( Node& node );
    net::Task<Next> askSidecar( Choice& choice );
    EnsureRequest question( const Choice& choice, MonoTime now ) const;
    Next followAnswer( Choice& choice, const EnsureAnswer& answer, bool late );
    void logAsk( const Choice& choice, const EnsureAnswer& answer, MonoTime since ) const;
    //! Leave of the chosen upstream's limit, where it has named one.
    net::Task<bool> obtainRoom( const Choice& choice );
    //! The same again when preparing took so long that the leave is stale.
    net::Task<bool> renewRoom( const Choice& choice );
    //! What was obtained for the chosen upstream is of no use any more, if it was not used.
    void dropLeaves();
    net::Task<SendResult> sendTo( NodePtr node, const Choice& choice );
    net::Task<ConnectionPtr> connectionTo( Node& node );
    net::Task<SendResult> receive( Node& node, ConnectionPtr connection, const Choice& choice );
    net::Task<SendResult> passStream( Transfer& transfer );
    net::Task<SendResult> takeWhole( Transfer& transfer );
    SendOutcome judge( Transfer& transfer, unsigned status );
    //! Notes what an answer says of the upstream that gave it.
    void hearAnnouncement( const Transfer& transfer );
    void hearLimit( const Transfer& transfer, MonoTime now );
    bool ended( const Transfer& transfer ) const;
    std::string streamText( std::string_view events, bool finished );
    net::Task<bool> writeClient( std::string bytes );
    net::Task<> answerWhole( const WholeAnswer& answer );
    net::Task<> sendOwnAnswer( unsigned status, std::string reason, Millis retryAfter );
    net::Task<> finishFailed();
    std::string requestBytes( const Node& node ) const;
    bool keepsAlive() const { return m_keepAlive && !m_shared.draining; }
    //! Until when the request may wait for what it needs at the chosen upstream.
    MonoTime waitLimit( const Choice& choice ) const;
    //! How long to wait for the sake of the streams that run there; zero when its own goal forbids.
    Millis paceWait( const Choice& choice, MonoTime now ) const;
    //! True when what it needs there comes too late for the client: it is refused, the load begins.
    bool tooLateThere( const Choice& choice, MonoTime now );
    int urgency() const;
    bool mayTryAgain( const SendResult& sent );
    bool timeLeft( MonoTime now ) const { return now < m_deadline; }
    void logSend( const Node& node, const Choice& choice, MonoTime now ) const;
    void noteEvents( Transfer& transfer );
    void logEnd( std::string_view outcome ) const;

    SharedState& m_shared;
    std::shared_ptr<const RouteTable> m_table; //!< in force when the request came
    ClientRequest m_request;
    std::shared_ptr<ClientEnd> m_client;
    bool m_keepAlive;
    const Route* m_route = nullptr;
    const Organisation* m_organisation = nullptr; //!< null where no key is needed
    double m_charged = 0;                         //!< units of its quota
    decide::Fingerprint m_fingerprint = 0;        //!< of its content; the same in each try
    std::string m_service;
    RequestNeeds m_need;
    std::vector<std::uint64_t> m_prefix;
    ClientTimeouts m_patience;
    MonoTime m_deadline;
    std::set<std::string> m_excluded;       //!< upstreams that this request does not go to any more
    int m_refusals = 0;                     //!< sidecars that could not let it in before its goal
    std::optional<PromptPermit> m_leave;    //!< to send its prompt to the chosen upstream
    std::optional<LimitPermit> m_room;      //!< likewise, where the upstream has a limit
    MonoTime m_roomAt;                      //!< when that was obtained
    int m_sends = 0;                        //!< that reached an upstream
    MonoTime m_sentAt;                      //!< the last of them
    std::optional<MonoTime> m_firstEventAt; //!< that one's first event
    int m_runs = 0;                         //!< of these, may have run
    bool m_mayHaveRun = false;
    std::string m_lastFailure;
    Millis m_retryAfter{ 0 };
    std::optional<WholeAnswer> m_answer; //!< an upstream's own failure, kept in case a retry fails
    bool m_headSent = false;
    bool m_answered = false;
    unsigned m_status = 0;
    std::optional<std::uint64_t> m_lastEvent; //!< last event passed on
    MonoTime m_lastEventAt;
    std::optional<Millis> m_firstEvent; //!< from arrival to the first event passed on
    Millis m_longestPause{ 0 };         //!< between events passed on
    double m_expectedMs = 0;            //!< what the last choice expected until then
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EXCHANGE_HPP_INCLUDED
