// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_GATEWAY_EXCHANGE_EXCHANGE_HPP_INCLUDED
#define COURSEHEAD_GATEWAY_EXCHANGE_EXCHANGE_HPP_INCLUDED

#include "coursehead/kernel/random.hpp"
#include "coursehead/metrics/metrics.hpp"
#include "decide/carrying_capacity.hpp"
#include "decide/retry_budget.hpp"
#include "gateway/choice/fleet.hpp"
#include "gateway/counts/limit_client.hpp"
#include "gateway/counts/origin_client.hpp"
#include "gateway/counts/poison_guard.hpp"
#include "gateway/counts/quota_client.hpp"
#include "gateway/exchange/client_end.hpp"
#include "gateway/exchange/client_timeouts.hpp"
#include "gateway/exchange/client_writer.hpp"
#include "gateway/exchange/event_stream.hpp"
#include "gateway/exchange/link_use.hpp"
#include "gateway/exchange/prompt_permit.hpp"
#include "gateway/exchange/request_body.hpp"
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

//! The clients with a request in progress.
using ActiveClients = std::set<ClientConnection*>;

//! State of the gateway process that all requests share.
struct SharedState {
    net::asio::io_context& context;
    Fleet& fleet;
    RandomSource& random;
    metrics::Metrics& metrics;
    platform::Bounds bounds;
    std::shared_ptr<const RouteTable> table;            //!< null until a configuration is known
    std::map<std::string, decide::RetryBudget> retries; //!< by service
    std::size_t inFlight = 0;
    QuotaClient* quota = nullptr;        //!< null: no quotas are enforced
    LimitClient* limits = nullptr;       //!< null: limits that upstreams announce are ignored
    PoisonGuard* poison = nullptr;       //!< null: no request is quarantined
    OriginClient* origins = nullptr;     //!< null: no stream is resumed
    MonoTime started = MonoClock::now(); //!< start of this process
    bool listed = true;                  //!< the list of upstreams is known
    int waitingForStart = 0;             //!< requests that wait for configuration and upstreams
    bool configurationUpToDate = true;   //!< this gateway receives changes of the configuration
    bool draining = false;
    MonoTime stopAt{};           //!< when draining: the process stops at the latest then
    bool pastHandover = false;   //!< when draining: clients had time to switch to another gateway
    bool sendsStopped = false;   //!< the process is about to stop and sends no further requests
    bool sendsBrokenOff = false; //!< see breakOffSends()
    std::set<net::Socket*> idleClients{}; //!< client connections without a request in progress
    // These outlive this object in requests that end with the event loop.
    std::shared_ptr<ReaderTable> readers = std::make_shared<ReaderTable>();
    std::shared_ptr<BodyTable> bodies = std::make_shared<BodyTable>();
    std::shared_ptr<ActiveClients> activeClients = std::make_shared<ActiveClients>();
    decide::CarryingCapacity capacity{};
    LinkUse linkUse{};
    std::uint64_t descriptors = 0; //!< highest descriptor of a connection accepted lately, plus one
    ClientTraffic clientTraffic{};
    std::vector<int> priorities{}; //!< of the routes, each once; the most urgent one first
};

//! Breaks off the sends of all requests whose answer has not begun, so that each gets one before
//! the process stops: a connection that ends without an answer looks like one whose request was not
//! read. No further request may be sent afterwards.
void breakOffSends( SharedState& shared );

//! A request as received from the client.
struct ClientRequest {
    std::string method;
    std::string target;
    http::fields fields;
    std::shared_ptr<const std::string> body = std::make_shared<const std::string>();
    platform::RequestHead head;
    MonoTime arrived; //!< when its first bytes were read
};

//! An answer that is held in memory and sent with its complete body.
struct BufferedAnswer {
    unsigned status = 0;
    std::string reason;
    http::fields fields;
    std::string body;
    bool madeByGateway = false; //!< made by this gateway, not by an upstream
};

//! One send of a request to an upstream; see transfer.hpp.
struct Transfer;

//! Retry-After of a refusal because a model has to be loaded first or no configuration is known
//! yet: about the duration of a load or of a store outage.
inline constexpr Millis modelRetryAfter{ 1000 };
//! Retry-After of other refusals, unless an upstream stated a time.
inline constexpr Millis defaultRetryAfter{ 300 };
//! Interval at which a request checks again whether the gateway has received what the request waits
//! for: the configuration and the upstreams, or a sidecar's first report.
inline constexpr Millis startPollInterval{ 10 };

//! A send ends this long before the request's deadline, so that the client receives an error answer
//! in time.
inline constexpr Millis answerMargin{ 30 };

//! Value of the WWW-Authenticate field in an answer 401.
inline constexpr std::string_view keyChallenge = "Bearer";

//! Result of a request for the client's connection.
struct ExchangeResult {
    bool keepAlive = true; //!< the connection may serve another request
};

//! Serves one request: chooses upstreams, sends the request, retries, and answers the client.
class Exchange {
public:
    Exchange( SharedState& shared, ClientRequest request, std::shared_ptr<ClientConnection> client,
              bool clientKeepsAlive );
    ~Exchange();
    Exchange( const Exchange& ) = delete;
    Exchange& operator=( const Exchange& ) = delete;

    net::Task<ExchangeResult> run();

private:
    //! Framing of an answer whose head has not arrived.
    static constexpr std::string_view noFraming = "none";

    //! Outcome of one send to an upstream.
    enum class SendOutcome {
        answered,  //!< m_answer holds the complete answer, unless it may not be passed on
        streamed,  //!< the complete stream was written to the client
        notRun,    //!< the upstream did not run the request and never will
        lost,      //!< the upstream may have run the request; no usable answer
        streamCut, //!< the stream broke after a part of it was written to the client
        stopped,   //!< the client disconnected or the deadline passed
    };
    struct SendResult {
        SendOutcome end = SendOutcome::lost;
        std::string failure;
        bool connectionBroke = false; //!< the upstream's connection broke while the request ran
    };

    //! Next step after the preparation of a send to the chosen upstream.
    enum class PrepareResult {
        send,          //!< send: model and adapter are resident and the prompt is admitted
        chooseAgain,   //!< the gateway's knowledge of the upstreams has changed: choose again
        chooseAnother, //!< exclude this upstream and choose again
        giveUp,        //!< no upstream can serve the request in time
    };

    //! Waits, for a short time after the start of the process, until the configuration and the
    //! upstreams are known.
    net::Task<> waitForStart();
    //! Finds the route and the organisation; answers the client and returns false if it refuses the
    //! request.
    net::Task<bool> admit();
    //! Charges the request to its organisation's quota; answers the client and returns false if the
    //! quota does not allow the request.
    net::Task<bool> charge();
    //! Refuses the request if it is among those that the gateway can't carry now; true if refused.
    net::Task<bool> refuseOverload();
    decide::Fingerprint fingerprint() const;
    //! Refuses the request if its content is quarantined as a poison request; true if refused.
    net::Task<bool> refuseQuarantined();
    net::Task<bool> refuseQuarantinedPart();
    bool partsMayBeSent();
    void logWithheldPart( const PartVerdict& verdict ) const;
    //! Notes that the run's prompt parts are sound once it has written events for long enough.
    void noteProgress( MonoTime now );
    //! True unless the request's content or a part of its prompt is quarantined, or is on trial
    //! after a quarantine and was sent already.
    bool contentMayBeSent();
    //! Reports to the poison guard whether the request completed or broke its upstream's
    //! connection.
    void recordPoisonEvidence( const NodePtr& node, const SendResult& sent, MonoTime now );
    //! Finds where a stream that its client resumes may go on. Answers the client and returns false
    //! if that is not known.
    net::Task<bool> findOrigin();
    //! Records the software version of a send's events and, if they are the client's first ones,
    //! where its stream began. Called before the first event of the send is forwarded.
    void noteVersion( const Transfer& transfer );
    //! The chosen upstream's software version; nullopt: not known for its present start.
    std::optional<std::string> versionOf( const Node& node ) const;
    net::Task<> forward();
    //! Sets failure text and Retry-After when no upstream can be chosen.
    void noteNoUpstream( const Choice& choice );
    //! Waits one poll interval while the slow start that follows a back-off allows the upstream no
    //! further request.
    net::Task<PrepareResult> waitForSlowStart( const Choice& choice );
    //! Prepares the send to the chosen upstream: waits for its sidecar, a model or an admission.
    net::Task<PrepareResult> prepare( Choice& choice );
    PrepareResult admitWithoutSidecar( Node& node );
    net::Task<PrepareResult> requestAdmission( Choice& choice );
    //! Notes when an engine that refused the request could serve it, and the place that it holds.
    void noteReturn( const Choice& choice, const EnsureAnswer& answer, MonoTime now );
    //! Logs that the request does not wait for a load that ends too late, and starts the load for
    //! those that come next if they need it.
    void noteAvoidedLoad( const Choice& choice, MonoTime now );
    //! Time to the first event, from now, for an answer in time and until the client leaves.
    decide::FirstEventLimits firstEventLimits( MonoTime now ) const;
    //! Time to tell the client: that of its place, else the earliest that an engine gave; nullopt:
    //! it would not wait so long.
    std::optional<Millis> timeOfReturn();
    //! Answers that the request was not run, with the time at which a return makes sense.
    net::Task<> answerNotRun( std::string reason );
    EnsureRequest admissionRequest( const Choice& choice, MonoTime now ) const;
    PrepareResult applyAdmissionAnswer( Choice& choice, const EnsureAnswer& answer, bool late );
    void logAdmission( const Choice& choice, const EnsureAnswer& answer, MonoTime since ) const;
    //! Obtains a permit under the chosen upstream's limit, if the upstream has announced one.
    net::Task<bool> obtainLimitPermit( const Choice& choice );
    //! Obtains a new permit if the preparation took longer than the permit's lifetime.
    net::Task<bool> renewLimitPermit( const Choice& choice );
    //! Drops the permits for the chosen upstream; unused ones are returned.
    void dropPermits();
    net::Task<SendResult> sendTo( NodePtr node, const Choice& choice );
    net::Task<ConnectionPtr> connectionTo( Node& node );
    //! Reads the head of the answer to this request; answers to other requests in front of it are
    //! dropped. Returns false, with the failure in `out`, if no such head arrives.
    net::Task<bool> readDueHead( Transfer& transfer, SendResult& out );
    //! True if the due answer can be found behind one that is not this request's.
    bool dueAnswerMayFollow( const Transfer& transfer ) const;
    void logSurplusAnswer( const Transfer& transfer, bool dropped ) const;
    net::Task<SendResult> receive( Node& node, ConnectionPtr connection, const Choice& choice );
    net::Task<SendResult> forwardStream( Transfer& transfer );
    net::Task<SendResult> receiveBuffered( Transfer& transfer );
    SendOutcome outcomeOfAnswer( Transfer& transfer, unsigned status );
    //! Records what the answer's header fields announce about the upstream that sent it.
    void noteAnnouncement( const Transfer& transfer );
    void noteAnnouncedLimit( const Transfer& transfer, MonoTime now );
    bool isAborted( const Transfer& transfer ) const;
    std::string streamText( std::string_view events, bool finished );
    net::Task<> sendBufferedAnswer( BufferedAnswer answer );
    net::Task<> sendOwnAnswer( unsigned status, std::string reason, Millis retryAfter );
    net::Task<> answerFailure();
    //! The request line and header fields for an upstream.
    std::string requestHead( const Node& node ) const;
    bool keepsAlive() const { return m_keepAlive && !m_shared.draining; }
    //! When the request can still be sent to the chosen upstream.
    SendWindow sendWindowFor( const Choice& choice ) const;
    SendWindow sendWindowFor( Millis work ) const;
    //! How long to delay the prompt so that the upstream's running streams keep their gap target;
    //! zero if the delay would miss the request's own goal.
    Millis pacingDelay( const Choice& choice, MonoTime now ) const;
    //! True if the load at the chosen upstream ends too late for the client. Starts the load of the
    //! model in that case, and sets the refusal's failure text and Retry-After.
    bool loadTooLate( const Choice& choice, MonoTime now );
    int urgency() const;
    bool mayRetry( const SendResult& sent );
    //! Takes a retry from this gateway's share of the service's budget; false if there is none.
    bool takeRetry( MonoTime now );
    decide::RetryBudget& retryBudget();
    decide::RetryShare retryShare() const;
    bool hasTimeLeft( MonoTime now ) const { return now < m_deadline; }
    void logSend( const Node& node, const Choice& choice, MonoTime now ) const;
    void noteEvents( Transfer& transfer );
    void logEnd( std::string_view outcome ) const;

    SharedState& m_shared;
    std::shared_ptr<ActiveClients> m_activeClients;
    std::shared_ptr<const RouteTable> m_table; //!< in force when the request arrived
    ClientRequest m_request;
    std::shared_ptr<ClientConnection> m_client;
    std::shared_ptr<ClientWriter> m_writer; //!< writes to the client
    bool m_keepAlive;
    const Route* m_route = nullptr;
    const Organisation* m_organisation = nullptr; //!< null where the route needs no key
    double m_charged = 0;                         //!< units charged to the organisation's quota
    decide::Fingerprint m_fingerprint = 0; //!< of the request's content; equal for each retry
    std::string m_service;
    RequestNeeds m_need;
    std::vector<std::uint64_t> m_prefix;
    ClientTimeouts m_clientTimeouts;
    MonoTime m_deadline;
    std::set<std::string> m_excluded; //!< upstreams that this request is not sent to any more
    bool m_loadAvoided = false;       //!< it did not wait for a load that would have been too late
    int m_sidecarRefusals = 0;        //!< sidecars that could not admit the prompt within the goal
    std::optional<PromptPermit> m_promptPermit; //!< from the chosen upstream's sidecar
    std::string m_fetchFrom;      //!< IP:PORT from which that upstream copies parts; empty: none
    bool m_startConfirmed = true; //!< that sidecar knows of no other start of the upstream
    std::optional<LimitPermit> m_limitPermit; //!< permit under the chosen upstream's limit
    MonoTime m_limitPermitAt;                 //!< when the limit's permit was obtained
    int m_sends = 0;                          //!< sends over an open connection to an upstream
    MonoTime m_sentAt;                        //!< time of the last send
    std::optional<MonoTime> m_firstEventAt;   //!< first event of the last send
    bool m_partsSound = false; //!< the last send's run has shown its prompt parts to be sound
    int m_runs = 0;            //!< sends that the upstream may have run
    bool m_mayHaveRun = false;
    std::string_view m_framing = noFraming; //!< of the last send's answer, see Transfer::framing()
    std::string m_lastFailure;
    Millis m_retryAfter{ 0 };
    std::optional<MonoTime> m_returnAt;       //!< earliest time at which an engine could serve it
    std::optional<ReturnPlace> m_returnPlace; //!< at the engine asked last
    std::string_view m_refusal = "other";     //!< cause of a refusal, for counters
    std::optional<BufferedAnswer> m_answer;   //!< an upstream's answer, not yet written to the
                                              //!< client; a failure is kept in case a retry fails
    bool m_headSent = false;
    bool m_answered = false;
    unsigned m_status = 0;
    std::optional<std::uint64_t> m_lastEvent; //!< id of the last event written to the client
    std::string m_firstVersion;    //!< software version of the upstream of the first event
    std::string m_lastVersion;     //!< likewise, of the last event
    bool m_versionUnknown = false; //!< the stream began at an upstream of unknown version
    bool m_versionGone = false;    //!< no upstream of the stream's version is left
    MonoTime m_lastEventAt;
    std::optional<Millis> m_timeToFirstEvent; //!< from arrival to the first event for the client
    Millis m_longestPause{ 0 };               //!< between events for the client
    double m_expectedMs = 0; //!< expected time to the first event or answer, by the last choice
};

} // namespace coursehead::gateway

#endif // COURSEHEAD_GATEWAY_EXCHANGE_EXCHANGE_HPP_INCLUDED
