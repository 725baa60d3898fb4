package entry

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/config"
	"github.com/savorypass/savorypass/internal/engine"
	"github.com/savorypass/savorypass/internal/filter"
	"github.com/savorypass/savorypass/internal/filter/admit"
	"github.com/savorypass/savorypass/internal/filter/authn"
	"github.com/savorypass/savorypass/internal/filter/decode"
	"github.com/savorypass/savorypass/internal/filter/dedup"
	"github.com/savorypass/savorypass/internal/filter/dispatch"
	"github.com/savorypass/savorypass/internal/filter/validate"
	"github.com/savorypass/savorypass/internal/identity"
	"github.com/savorypass/savorypass/internal/member"
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/ops"
	"github.com/savorypass/savorypass/internal/owner"
	"github.com/savorypass/savorypass/internal/peer"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/platform/httpx"
	"github.com/savorypass/savorypass/internal/registry"
	"github.com/savorypass/savorypass/internal/replica"
	"github.com/savorypass/savorypass/internal/sched"
	"github.com/savorypass/savorypass/internal/sched/fair"
	"github.com/savorypass/savorypass/internal/sched/naive"
	"github.com/savorypass/savorypass/internal/secure"
	"github.com/savorypass/savorypass/internal/server"
	"github.com/savorypass/savorypass/internal/share"
)

// Values of the --scheduler option.
const (
	schedulerFair  = "fair"
	schedulerNaive = "naive"
)

const (
	defaultIdentityValidity = 10 * time.Minute
	defaultAnswerRetention  = time.Minute

	// recordMargin is how long a record outlives the validity of its identity. It covers a submission that is delayed
	// between the check of the validity and the look-up of the record.
	recordMargin   = time.Minute
	expiryInterval = time.Second
	pollInterval   = 20 * time.Millisecond
	closeTimeout   = 2 * time.Second
)

var errIncarnationEnded = merry.New("this incarnation was fenced after a long pause or superseded by a newer one")

// Entry is one entry instance of the dispatcher with all its parts.
type Entry struct {
	opts        Options
	log         *logrus.Logger
	clock       clockwork.Clock
	started     time.Time
	incarnation uint64 // start of the process, Unix nanoseconds

	tokens   *secure.Tokens
	staff    []secure.Entry // operators and viewers of the staff token file; the configuration adds more
	metrics  *metric.Set
	dumps    *ops.Dumps
	issuer   *identity.Issuer
	registry *registry.Registry
	engine   *engine.Engine
	config   *config.Controller
	list     platform.InstanceList
	node     *peer.Node
	faults   *faults
	tls      *secure.TLS
	members  *member.Controller
	sharing  *share.Service
	owner    *owner.Controller
	replicas *replica.Replicator
	dialer   platform.Dialer
	usage    *usage
	listRead atomic.Pointer[time.Time] // end of the last successful read of the instance list; nil before the first
	handler  filter.Handler
	server   *server.Server
	ops      *ops.Server

	current          atomic.Pointer[snapshot] // configuration in force; nil before the first
	draining         atomic.Bool
	serving          chan struct{} // closed once server is set and accepts connections
	drained          chan struct{} // closed when a planned stop has completed
	incarnationEnded chan struct{} // closed when this incarnation is fenced or superseded
	endOnce          sync.Once
}

// New returns an entry instance that listens for peers but does not run yet. It fails if the staff tokens or the TLS
// material cannot be read, or if the peers' address cannot be opened.
func New(opts Options, log *logrus.Logger) (*Entry, error) {
	clock := clockwork.NewRealClock()
	e := &Entry{
		opts: opts, log: log, clock: clock, started: clock.Now(), incarnation: uint64(clock.Now().UnixNano()),
		tokens: &secure.Tokens{}, metrics: metric.New(), dumps: &ops.Dumps{}, serving: make(chan struct{}), drained: make(chan struct{}),
		incarnationEnded: make(chan struct{}),
	}
	if err := e.loadStaff(); err != nil {
		return nil, merry.Prepend(err, "read staff tokens")
	}
	var err error
	if e.tls, err = secure.LoadTLS(e.tlsSettings()); err != nil {
		return nil, merry.Prepend(err, "load TLS material")
	}
	if e.node, err = peer.New(peer.Options{Listen: opts.Peers, TLS: e.tls, Log: log, CountBytes: e.countPeer, EnableFaults: opts.EnableFaults}); err != nil {
		return nil, merry.Prependf(err, "listen for peers on %s", opts.Peers)
	}
	e.faults = newFaults(e.node)
	e.makeControllers()
	e.makeEngine()
	e.handler = e.chain()
	e.members.Subscribe(e.memberChanged)
	e.handlePeers()
	e.registerDumps()
	return e, nil
}

// loadStaff reads the token digests of operators and viewers from the file that the settings name, if any.
func (e *Entry) loadStaff() (err error) {
	if e.opts.StaffTokens == "" {
		return nil
	}
	if e.staff, err = secure.ReadStaffTokensFile(e.opts.StaffTokens); err != nil {
		return err
	}
	return e.tokens.SetStaffTokens(e.staff)
}

// makeControllers creates the parts that track the platform and the peers: configuration, membership, worker
// ownership, the other instances' use of slots and the replication of answers.
func (e *Entry) makeControllers() {
	opts, clock := e.opts, e.clock
	home := identity.Home{Zone: opts.Zone, Instance: opts.Name, Incarnation: e.incarnation}
	e.issuer = identity.NewIssuer(home, defaultIdentityValidity, func() time.Duration { return clock.Since(e.started) })
	e.registry = newRegistry()
	e.list = e.trackListReads(cutList{httpx.NewInstanceList(address(opts.InstancesURL), e.httpOptions(metric.ControlList)), e.faults.list})
	e.config = config.New(config.Options{
		Log:   errorCountingLog{cutLog{httpx.NewLog(address(opts.LogURL), e.httpOptions(metric.ControlLog)), e.faults.log}, &e.metrics.LogErrors},
		Peers: e, Name: opts.Zone + "/" + opts.Name, Clock: clock, Logger: e.log,
		Retention: opts.LogRetention, LiveInstances: e.liveNames, MaxCommonSchema: e.schemaSupport,
	})
	e.members = member.New(member.Options{
		Self: home, Seeds: seeds(opts.Seeds), List: e.list, Transport: e.node, Clock: clock, LocalState: e.localState, Log: e.log,
	})
	e.owner = e.newOwner()
	e.usage = newUsage(clock.Now)
	e.replicas = replica.New(replica.Options{
		View: e.members.View, Transport: e.node, Retention: defaultAnswerRetention, Clock: clock,
		Received: func(n int) { e.metrics.AnswerCopies.Add(metric.Received, int64(n)) },
	})
}

// makeEngine creates the engine and the slot sharing. Both need the membership, so makeControllers comes first.
func (e *Entry) makeEngine() {
	e.sharing = share.New(share.Options{
		Zone: e.opts.Zone, Transport: e.node, Members: shareMembers{e}, Spill: e.spill, Log: e.log, Now: e.clock.Now,
		Wasted: observer{e.metrics}.Wasted,
	})
	e.dialer = httpx.NewDialer(e.httpOptions(metric.ControlLeases))
	e.engine = engine.New(engine.Options{
		Scheduler: newScheduler(e.opts.Scheduler), Dialer: e.dialer, Clock: e.clock, Log: e.log,
		Admit: e.admitJob, Observe: observer{e.metrics}, MayStart: e.mayStart, Fenced: e.members.Fenced, Sharing: e.sharing,
		Owner: slotReporter{e},
	})
}

func newRegistry() *registry.Registry {
	return registry.New(registry.Options{RecordTTL: defaultIdentityValidity + recordMargin, AnswerTTL: defaultAnswerRetention})
}

func newScheduler(name string) sched.Scheduler {
	if name == schedulerNaive {
		return naive.New()
	}
	return fair.New(fair.Options{})
}

func (e *Entry) registerDumps() {
	e.dumps.Register("engine", ops.DumpFunc(e.engine.Dump))
	e.dumps.Register("config", ops.DumpFunc(e.config.Dump))
	e.dumps.Register("owner", ops.DumpFunc(e.owner.Dump))
	e.dumps.Register("replicas", ops.DumpFunc(e.replicas.Dump))
	e.dumps.Register("members", ops.DumpFunc(e.members.Dump))
	e.dumps.Register("registry", ops.DumpFunc(func() any { return e.registry.Stats() }))
}

// chain returns the filter chain for requests of callers.
func (e *Entry) chain() filter.Handler {
	limits := limiter{secure.NewLimiter(maxLimited), e.current.Load}
	return e.requestChain(filter.ViewFunc(e.view), limits, gate{e})
}

func (e *Entry) requestChain(views filter.ViewSource, limits admit.Limiter, gate admit.Gate) filter.Handler {
	now := e.clock.Now
	return filter.Chain(
		authn.Filter{Tokens: tokens{e.tokens}, Ready: func() bool { return e.current.Load() != nil }},
		decode.Filter{},
		dedup.Filter{Issuer: e.issuer, Registry: e.registry, Forwarder: remote{e}, Now: now, Fenced: e.fenced,
			Resubmitted: func() { e.metrics.Resubmitted.Add(1) }},
		validate.Filter{ViewSource: views, Registry: e.registry},
		admit.Filter{Limiter: limits, Gate: gate, Registry: e.registry, Now: now},
		dispatch.Filter{Engine: e.engine, Issuer: e.issuer, Registry: e.registry, AnswerObserver: e.copyAnswer, Now: now},
	)
}

// Run serves until ctx ends or a planned stop has completed, and then returns nil. It returns an error if a listener
// cannot be opened, or once this incarnation is fenced or superseded.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.startControllers(ctx)
	operators, err := e.serveOperators()
	if err != nil {
		return err
	}
	defer e.ops.Shutdown(context.Background())
	fromCallers := callers{e.handler, e.metrics, e.connectionsPerCaller}
	e.server, err = server.Start(server.Options{
		Address: e.opts.Callers, Loops: e.opts.EventLoops, Limits: e.limits, Handler: fromCallers, EncodeRefusal: fromCallers.refuse, Log: e.log,
	})
	if err != nil {
		return err
	}
	close(e.serving)
	defer e.server.Stop(context.Background())
	defer e.closePeers()
	e.log.WithFields(logrus.Fields{
		"event": "started", "zone": e.opts.Zone, "instance": e.opts.Name, "incarnation": e.incarnation,
		"callers": e.server.Address(), "operators": operators.String(),
	}).Info("entry instance started")
	select {
	case <-ctx.Done():
	case <-e.drained:
	case <-e.incarnationEnded:
		e.log.WithField("event", "ended").Error("this incarnation was fenced or superseded; the process stops")
		return errIncarnationEnded
	}
	e.log.WithField("event", "stopped").Info("entry instance stopped")
	return nil
}

func (e *Entry) startControllers(ctx context.Context) {
	e.config.Subscribe(e.apply)
	go e.engine.Run(ctx)
	go e.config.Run(ctx)
	go e.members.Run(ctx)
	go e.owner.Run(ctx)
	go e.replicas.Run(ctx)
	go e.reportUsage(ctx)
	go e.expireRecords(ctx)
	go e.updateGauges(ctx)
}

// serveOperators opens the operators' listener, serves it in the background and returns its address.
func (e *Entry) serveOperators() (net.Addr, error) {
	listener, err := net.Listen("tcp", e.opts.Operators)
	if err != nil {
		return nil, merry.Prependf(err, "listen for operators on %s", e.opts.Operators)
	}
	addr := listener.Addr()
	if e.opts.OperatorsTLS {
		listener = tls.NewListener(listener, e.tls.Operators())
	}
	e.ops = e.newOps()
	go e.ops.Serve(listener)
	return addr, nil
}

func (e *Entry) view() *filter.View {
	if s := e.current.Load(); s != nil {
		return s.view
	}
	return nil
}

func (e *Entry) limits() server.Limits {
	if s := e.current.Load(); s != nil {
		return s.limits
	}
	return server.DefaultLimits()
}

// notReady returns the reasons why the instance accepts no new work, or nil if it is ready.
func (e *Entry) notReady() []string {
	var reasons []string
	if err := e.config.Ready(); err != nil {
		reasons = append(reasons, err.Error())
	}
	if e.engine.Load().Slots == 0 && e.peerState().Slots == 0 {
		reasons = append(reasons, "no worker in the availability zone has a usable slot")
	}
	return reasons
}

func (e *Entry) expireRecords(ctx context.Context) {
	ticker := e.clock.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			e.registry.Expire(e.clock.Now())
		}
	}
}

// Dumps returns the registered state dumps of all parts.
func (e *Entry) Dumps() *ops.Dumps { return e.dumps }

// Reload reads the TLS material again. Only new connections use it.
func (e *Entry) Reload() error { return e.tls.Reload(e.tlsSettings()) }

// closePeers closes the connections to peers. It waits up to closeTimeout until pending answers have been delivered.
func (e *Entry) closePeers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := e.node.Close(ctx); err != nil {
		e.log.WithField("event", "peers_cut_off").WithError(err).Warn("connections to peers closed before all answers were delivered")
	}
}

func (e *Entry) tlsSettings() secure.TLSSettings {
	return secure.TLSSettings{Certificate: e.opts.Cert, Key: e.opts.Key, CA: e.opts.CA}
}

// schemaSupport returns the highest configuration schema that all live instances can read.
func (e *Entry) schemaSupport() int { return e.members.View().LowestSchema(config.SchemaVersion) }

// address returns the host and port of a plain HTTP URL.
func address(url string) string {
	return strings.TrimSuffix(strings.TrimPrefix(url, "http://"), "/")
}
