package bbrserve

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrlog"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrfollow"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrkernel"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlistener"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrdetector"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrregistry"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrintake"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrinquiry"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
	"github.com/bluebellridge/bluebellridge/platform/bbrwire"
)

func init() {
	bbrkernel.Register(bbrkernel.Plugin{
		Name:     "serve",
		Stage:    bbrkernel.StageCore,
		Protocol: bbrsettings.ProtocolFleet,
		Option:   fx.Options(fx.Provide(bbrmetric.New, newService), fx.Invoke(start)),
	})
}

const (
	// connectionsPerUpstream leaves one for the renewal that waits.
	connectionsPerUpstream = 6
	connectionsToStore     = 24
	// memoryShare of the bound is where the garbage collector gets busy.
	memoryShare = 0.6
	gcPercent   = 300
)

// service is the parts of an entry that runs jobs.
type service struct {
	settings bbrsettings.Settings
	metrics  *bbrmetric.Set
	store    *bbrkv.Store
	config   *bbrfollow.Follower
	registry *bbrregistry.Registry
	session  *bbrclaim.Session
	claims   *bbrclaim.Directory
	// reservations are known while the entry holds a claim.
	reservations *bbrclaim.Reservations
	claimer      *bbrclaim.Claimer
	acceptor     *bbrintake.Acceptor
	handler      *bbrintake.Handler
	owners       *owners
	// questions asks the owners at other entries.
	questions *bbrinquiry.Client
	servers   []*bbrlistener.Listener

	// end ends what owns and follows, and endSession the session.
	end, endSession context.CancelFunc
	running, keep   sync.WaitGroup
}

func newService(settings bbrsettings.Settings, metrics *bbrmetric.Set) *service {
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Limits.MemoryMB) * (1 << 20)))
	}
	debug.SetGCPercent(gcPercent)
	store := bbrkv.WithMetrics(bbrwire.NewStore(bbrwire.NewClient(connectionsToStore, metrics.BodyBytes), settings.Platform.Address, metrics.Event),
		func(call string, err error, took time.Duration) { metrics.StoreCall(call, bbrkv.Outcome(err), took) })
	s := &service{
		settings:     settings,
		metrics:      metrics,
		store:        store,
		config:       &bbrfollow.Follower{Store: store, Key: bbrwire.ConfigKey, Decode: bbrwire.DecodeConfig, MaxApplyDelay: settings.Jobs.MaxConfigApplyDelay},
		registry:     &bbrregistry.Registry{Decode: bbrwire.DecodeRegistration},
		session:      &bbrclaim.Session{Store: store, Entry: settings.Entry, Zone: settings.Zone, Incarnation: uuid.NewString(), MilliCPU: milliCPU(settings.Limits), PeerAddress: settings.Listen.Peers},
		claims:       &bbrclaim.Directory{},
		reservations: &bbrclaim.Reservations{},
		acceptor:     bbrintake.NewAcceptor(store),

		questions: bbrinquiry.NewClient(),
	}
	s.owners = newOwners(s)
	s.claimer = &bbrclaim.Claimer{Session: s.session, Directory: s.claims, Names: s.owners.names, RunOwner: s.owners.own}
	s.handler = &bbrintake.Handler{
		Intake: &bbrintake.Intake{
			Acceptor:       s.acceptor,
			Store:          store,
			Config:         s.config.Config,
			Cells:          s.claims.Cells,
			StoreAvailable: s.session.StoreAnswers,
			QueryOwner:     s.owners.ask,
			NotifyOwner:    s.owners.tell,
		},
		Codec: bbrintake.Codec{
			DecodeSubmission: bbrwire.DecodeSubmission,
			ValidID:          bbrwire.ValidJobID,
			Timeout:          bbrwire.CallerTimeout,
			StateBody:        bbrwire.StateBody,
			WaitingBody:      bbrwire.WaitingBody,
		},
		Metrics:      metrics,
		MaxBodyBytes: settings.Limits.BodyBytes,
	}
	s.servers = []*bbrlistener.Listener{
		bbrlistener.New(settings.Listen.Callers, s.handler.Router(), settings),
		bbrlistener.New(settings.Listen.Readiness, http.HandlerFunc(s.serveReady), settings),
		bbrlistener.New(settings.Listen.Metrics, promhttp.HandlerFor(metrics.Registry, promhttp.HandlerOpts{}), settings),
	}
	if operators := s.operators(); operators != nil {
		s.servers = append(s.servers, operators)
	}
	return s
}

// milliCPU is the processor time of the process in thousandths of a core.
func milliCPU(limits bbrsettings.Limits) int {
	const thousandths = 1000
	return int(limits.CPUShare * limits.CPUCores * thousandths)
}

func start(lifecycle fx.Lifecycle, s *service) {
	lifecycle.Append(fx.StartStopHook(s.start, s.stop))
}

func (s *service) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.handler.Ready(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// watchWait is how long a watch without events lasts; a silent connection is
// found out soon after.
const watchWait = time.Second

// reportEvery is between two lines with what the counters gained.
const reportEvery = 10 * time.Second

func (s *service) start(ctx context.Context) error {
	running, end := context.WithCancel(context.Background())
	s.end = end
	session, endSession := context.WithCancel(context.Background())
	s.endSession = endSession
	fleet := &bbrkv.Follower{Store: s.store, Prefix: bbrclaim.FleetPrefix, WatchTimeout: watchWait, OnSnapshot: s.claims.Snapshot, OnChange: s.claims.Change}
	holder := &holderWatch{service: s}
	s.keep.Go(func() { s.session.Run(session) })
	s.keep.Go(func() { s.acceptor.Run(session) })
	s.keep.Go(func() { s.config.Run(session) })
	reporter := &bbrmetric.Reporter{Registry: s.metrics.Registry, Interval: reportEvery}
	s.keep.Go(func() { reporter.Run(session) })
	s.running.Go(func() { fleet.Run(running) })
	s.running.Go(func() { holder.run(running) })
	s.running.Go(func() { s.claimer.Run(running) })
	if err := s.answerEntries(ctx, session); err != nil {
		return err
	}
	for _, server := range s.servers {
		if err := server.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// answerEntries answers other entries' questions until running ends, where the
// settings have an address for them.
func (s *service) answerEntries(ctx, running context.Context) error {
	if !s.settings.Listen.Peers.IsValid() {
		return nil
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.settings.Listen.Peers.String())
	if err != nil {
		return err
	}
	server := &bbrinquiry.Server{JobState: s.owners.state, JobExplanation: s.owners.explain, AcceptHint: s.owners.accept, PingEntry: s.questions.Ping}
	watch := &bbrdetector.Detector{
		Entry:           s.settings.Entry,
		Directory:       s.claims,
		Ping:            s.questions.Ping,
		AskReachability: s.questions.Reachability,
		RevokeLease:     s.store.Revoke,
		Event:           s.metrics.Event,
	}
	s.keep.Go(func() { watch.Run(running) })
	s.keep.Go(func() {
		err := server.Run(running, listener)
		klog.InfoS("Questions end", "address", s.settings.Listen.Peers, "reason", bbrlog.ErrorText(err))
	})
	return nil
}

// stop hands over: the balancer is told, the services are given up, and
// callers are served while the balancer may still send them.
func (s *service) stop(ctx context.Context) error {
	told := time.Now()
	s.handler.Stop()
	s.end()
	s.running.Wait()
	if err := s.session.Close(ctx); err != nil {
		klog.InfoS("Lease not ended", "reason", err.Error())
	}
	klog.InfoS("Handed over", "took", time.Since(told).Round(time.Millisecond))
	bbrpause.For(ctx, s.settings.Shutdown.BalancerLag-time.Since(told))
	serving, cancel := context.WithTimeout(ctx, s.settings.Shutdown.Grace)
	defer cancel()
	var err error
	for _, server := range s.servers {
		if failed := server.Stop(serving); failed != nil {
			err = failed
		}
	}
	s.endSession()
	s.keep.Wait()
	if failed := s.questions.Close(); failed != nil {
		klog.InfoS("Connections to entries not closed", "reason", failed.Error())
	}
	return err
}
