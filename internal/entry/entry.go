package entry

import (
	"context"
	"errors"
	"net"
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
	"github.com/savorypass/savorypass/internal/metric"
	"github.com/savorypass/savorypass/internal/ops"
	"github.com/savorypass/savorypass/internal/platform"
	"github.com/savorypass/savorypass/internal/platform/httpx"
	"github.com/savorypass/savorypass/internal/registry"
	"github.com/savorypass/savorypass/internal/sched"
	"github.com/savorypass/savorypass/internal/sched/fair"
	"github.com/savorypass/savorypass/internal/sched/naive"
	"github.com/savorypass/savorypass/internal/secure"
	"github.com/savorypass/savorypass/internal/server"
)

// Schedulers that a process can be started with.
const (
	schedulerFair  = "fair"
	schedulerNaive = "naive"
)

const (
	defaultValidity  = 10 * time.Minute
	defaultRetention = time.Minute
	expiryInterval   = time.Second
	drainPoll        = 20 * time.Millisecond
)

// Entry is one running entry instance.
type Entry struct {
	opts        Options
	log         *logrus.Logger
	clock       clockwork.Clock
	started     time.Time
	incarnation uint64

	tokens   *secure.Tokens
	metrics  *metric.Set
	dumps    *ops.Dumps
	issuer   *identity.Issuer
	registry *registry.Registry
	engine   *engine.Engine
	config   *config.Controller
	list     platform.InstanceList
	server   *server.Server
	ops      *ops.Server

	current  atomic.Pointer[snapshot]
	draining atomic.Bool
	drained  chan struct{}
}

// New returns an entry instance that is not running yet.
func New(opts Options, log *logrus.Logger) (*Entry, error) {
	clock := clockwork.NewRealClock()
	e := &Entry{
		opts: opts, log: log, clock: clock, started: clock.Now(), incarnation: uint64(clock.Now().UnixNano()),
		tokens: &secure.Tokens{}, metrics: metric.New(), dumps: &ops.Dumps{}, drained: make(chan struct{}),
	}
	if opts.Staff != "" {
		staff, err := secure.ReadStaffFile(opts.Staff)
		if err != nil {
			return nil, merry.Prepend(err, "operators' tokens")
		}
		if err := e.tokens.SetStaff(staff); err != nil {
			return nil, merry.Prepend(err, "operators' tokens")
		}
	}
	home := identity.Home{Zone: opts.Zone, Instance: opts.Name, Incarnation: e.incarnation}
	e.issuer = identity.NewIssuer(home, defaultValidity, func() time.Duration { return clock.Since(e.started) })
	e.registry = registry.New(registry.Options{RecordTTL: defaultValidity, AnswerTTL: defaultRetention})
	web := httpx.Options{Zone: opts.Zone}
	e.list = httpx.NewInstanceList(address(opts.InstancesURL), web)
	e.config = config.New(config.Options{
		Log: httpx.NewLog(address(opts.LogURL), web), Peer: e, Name: opts.Zone + "/" + opts.Name, Clock: clock, Logger: log,
		Retention: opts.LogRetention,
	})
	e.engine = engine.New(engine.Options{
		Scheduler: newScheduler(opts.Scheduler), Dialer: httpx.NewDialer(web), Clock: clock, Log: log,
		Admit: e.admitJob, Observe: observer{e.metrics},
	})
	e.registerDumps()
	return e, nil
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
	e.dumps.Register("registry", ops.DumpFunc(func() any { return e.registry.Stats() }))
}

// chain returns the filters that a caller's request passes.
func (e *Entry) chain() filter.Handler {
	now := e.clock.Now
	return filter.Chain(
		authn.Filter{Tokens: tokens{e.tokens}},
		decode.Filter{},
		validate.Filter{Views: filter.ViewFunc(e.view)},
		dedup.Filter{Issuer: e.issuer, Registry: e.registry, Now: now},
		admit.Filter{
			Limiter: limiter{secure.NewLimiter(maxLimited), e.current.Load}, Gate: gate{e}, Registry: e.registry, Now: now,
		},
		dispatch.Filter{Engine: e.engine, Issuer: e.issuer, Registry: e.registry, Now: now},
	)
}

// Run serves until ctx ends or a planned stop has completed.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.config.Subscribe(e.apply)
	go e.engine.Run(ctx)
	go e.config.Run(ctx)
	go e.followWorkers(ctx)
	go e.expireRecords(ctx)
	listener, err := net.Listen("tcp", e.opts.Operators)
	if err != nil {
		return merry.Prependf(err, "listen for operators on %s", e.opts.Operators)
	}
	e.ops = e.newOps()
	go e.ops.Serve(listener)
	defer e.ops.Shutdown(context.Background())
	e.server, err = server.Start(server.Options{
		Address: e.opts.Callers, Loops: e.opts.EventLoops, Limits: e.limits, Handler: callers{e.chain()}, Refuse: refuse,
	})
	if err != nil {
		return err
	}
	defer e.server.Stop(context.Background())
	e.log.WithFields(logrus.Fields{
		"event": "started", "zone": e.opts.Zone, "instance": e.opts.Name, "incarnation": e.incarnation,
		"callers": e.server.Address(), "operators": listener.Addr().String(),
	}).Info("entry instance started")
	select {
	case <-ctx.Done():
	case <-e.drained:
	}
	e.log.WithField("event", "stopped").Info("entry instance stopped")
	return nil
}

// apply puts a configuration version into force on this instance.
func (e *Entry) apply(u config.Update) {
	entries, err := callerTokens(u.Config)
	if err == nil {
		err = e.tokens.SetCallers(entries)
	}
	if err != nil {
		// Validation has accepted the digests, so this is a fault of the program. The old tokens stay.
		e.log.WithError(err).WithField("version", u.State.Version).Error("callers' tokens not replaced")
	}
	e.current.Store(newSnapshot(u.State.Version, u.Config))
	e.metrics.ConfigVersion.Set(int64(u.State.Version))
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

// notReady returns the reasons why the instance takes no work.
func (e *Entry) notReady() []string {
	var reasons []string
	if err := e.config.Ready(); err != nil {
		reasons = append(reasons, err.Error())
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

// Fetch implements config.Peer.
func (e *Entry) Fetch(context.Context, string) (config.Snapshot, error) {
	return config.Snapshot{}, errors.New("no peers")
}
