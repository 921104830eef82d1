package bbrserve

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrlog"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrmetric"
	"github.com/bluebellridge/bluebellridge/internal/base/bbrpause"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrfollow"
	"github.com/bluebellridge/bluebellridge/internal/config/bbrsettings"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlimit"
	"github.com/bluebellridge/bluebellridge/internal/daemon/bbrlistener"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrclaim"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrdetector"
	"github.com/bluebellridge/bluebellridge/internal/fleet/bbrregistry"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrintake"
	"github.com/bluebellridge/bluebellridge/internal/job/bbrwork"
	"github.com/bluebellridge/bluebellridge/internal/peer/bbrinquiry"
	"github.com/bluebellridge/bluebellridge/internal/store/bbrkv"
	"github.com/bluebellridge/bluebellridge/platform/bbrwire"
)

const (
	// maxConnsPerUpstream bounds the connections to one upstream. One of them is in
	// use by the lease renewal, whose answer the upstream delays until a run ends.
	maxConnsPerUpstream = 6
	maxConnsToStore     = 24
	// memoryLimitShare is the share of limits.memoryMB that becomes the soft memory
	// limit of the Go runtime, from which the garbage collector runs more often.
	memoryLimitShare = 0.6
	// gcPercent is the growth of the heap, in percent, between two collections
	// below the memory limit.
	gcPercent = 300
)

// daemon contains the parts of an entry that runs jobs.
type daemon struct {
	settings  bbrsettings.Settings
	limits    *bbrlimit.Limits
	metrics   *bbrmetric.Set
	store     *bbrkv.Store
	config    *bbrfollow.Follower
	registry  *bbrregistry.Registry
	session   *bbrclaim.Session
	directory *bbrclaim.Directory
	// reservations is filled only while the entry holds a claim.
	reservations *bbrclaim.Reservations
	claimer      *bbrclaim.Claimer
	acceptor     *bbrintake.Acceptor
	handler      *bbrintake.Handler
	owners       *owners
	// queries is the client for queries to other entries.
	queries *bbrinquiry.Client
	servers []*bbrlistener.Listener

	// cancelOwners ends ownerTasks: the claimer with its owners, and the followers
	// that they need. cancelSession ends sessionTasks, which go on until the
	// listeners have stopped.
	cancelOwners, cancelSession context.CancelFunc
	ownerTasks, sessionTasks    sync.WaitGroup
}

func newDaemon(settings bbrsettings.Settings, metrics *bbrmetric.Set, limits *bbrlimit.Limits) *daemon {
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Limits.MemoryMB) * (1 << 20)))
	}
	debug.SetGCPercent(gcPercent)
	settings.Jobs.FairShares = settings.Jobs.FairShares || bbrwire.SharesByWeight(settings.Platform.Features)
	session := &bbrclaim.Session{Entry: settings.Entry, Zone: settings.Zone, Incarnation: uuid.NewString(), MilliCPU: milliCPU(settings.Limits), PeerAddress: settings.Listen.Peers}
	store := bbrkv.WithMetrics(bbrwire.NewStore(bbrwire.NewClient(maxConnsToStore, metrics.BodyBytes), settings.Platform.Address, metrics.Event),
		func(call string, err error, took time.Duration) {
			metrics.StoreCall(call, bbrkv.Outcome(err), took)
			if bbrkv.Served(err) {
				session.RecordServed(time.Now())
			}
		})
	store.MaxValueBytes = settings.Platform.MaxValueBytes
	session.Store = store
	d := &daemon{
		settings:     settings,
		limits:       limits,
		metrics:      metrics,
		store:        store,
		config:       &bbrfollow.Follower{Store: store, Key: bbrwire.ConfigKey, Decode: bbrwire.DecodeConfig, MaxApplyDelay: settings.Jobs.MaxConfigApplyDelay},
		registry:     &bbrregistry.Registry{Decode: bbrwire.DecodeRegistration},
		session:      session,
		directory:    &bbrclaim.Directory{},
		reservations: &bbrclaim.Reservations{},
		acceptor:     bbrintake.NewAcceptor(store),

		queries: bbrinquiry.NewClient(),
	}
	d.session.MemoryMB = settings.Limits.MemoryMB
	d.session.BandwidthMbps = int(math.Ceil(settings.Limits.BandwidthMbps))
	d.owners = newOwners(d)
	d.owners.heldMemory.MaxBytes = bbrintake.MaxHeldBytes(settings.Limits.MemoryMB)
	metrics.Gauge("bbr_held_bytes", "Estimated memory for the work units of the jobs that the owners at this entry hold, in bytes.", func() float64 {
		return float64(d.owners.heldMemory.Used())
	})
	d.owners.backlogs.SmallestLink = d.directory.SmallestLink
	metrics.Gauge("bbr_oldest_unloaded_claim_seconds", "Age of the oldest claim of a shard that this entry has not loaded yet; 0 if there is none.", func() float64 {
		return d.owners.oldestUnloaded(time.Now()).Seconds()
	})
	d.claimer = &bbrclaim.Claimer{Session: d.session, Directory: d.directory, Names: d.owners.claimNames, RunOwner: d.owners.runOwner,
		Relief: &bbrclaim.Relief{Entry: settings.Entry, Directory: d.directory, Count: d.countLateOwner}}
	d.handler = &bbrintake.Handler{
		Intake: &bbrintake.Intake{
			Acceptor:       d.acceptor,
			Store:          store,
			Config:         d.config.Config,
			Cells:          d.directory.Cells,
			StoreAvailable: d.session.StoreAnswers,
			QueryOwner:     d.owners.queryState,
			NotifyOwner:    d.owners.notifyOwner,
			OwnerToken:     d.ownerToken,
			Backlogs:       &d.owners.backlogs,

			ReroutedServices: d.directory.ReroutedServices,
			Memory:           &bbrintake.MemoryBound{Smallest: d.directory.SmallestMemory, Counted: d.directory.HeldBytes},
		},
		Codec: bbrintake.Codec{
			SubmissionBytes:  bbrwire.SubmissionBytes,
			DecodeSubmission: bbrwire.DecodeSubmission,
			ValidID:          bbrwire.ValidJobID,
			Key:              bbrwire.CallerKey,
			Timeout:          bbrwire.CallerTimeout,
			StateBody:        bbrwire.StateBody,
			WaitingBody:      bbrwire.WaitingBody,
		},
		Metrics:      metrics,
		MaxBodyBytes: settings.Limits.BodyBytes,
		RequireKeys:  settings.Jobs.RequireKeys,
	}
	d.config.OnApply = d.handler.Intake.FormerServices.Apply
	if settings.Jobs.BalanceByCapacity {
		d.balanceByCapacity()
	}
	if settings.Jobs.RefuseBeyondShare {
		d.handler.Intake.ExpectedWait = d.owners.expectedWait
	}
	d.servers = []*bbrlistener.Listener{
		bbrlistener.New(bbrlimit.Callers, settings.Listen.Callers, d.handler.Router(), settings, limits),
		bbrlistener.New(bbrlimit.Readiness, settings.Listen.Readiness, http.HandlerFunc(d.serveReady), settings, limits),
		bbrlistener.New(bbrlimit.Metrics, settings.Listen.Metrics, promhttp.HandlerFor(metrics.Registry, promhttp.HandlerOpts{}), settings, limits),
	}
	if operators := d.operatorListener(); operators != nil {
		d.servers = append(d.servers, operators)
	}
	return d
}

// milliCPU returns the CPU share of the process in thousandths of a core.
func milliCPU(limits bbrsettings.Limits) int {
	const thousandths = 1000
	return int(limits.CPUShare * limits.CPUCores * thousandths)
}

// ownerToken returns the token of the shard's owner, and false if the store lists none.
func (d *daemon) ownerToken(shard bbrwork.Shard) (bbrkv.Revision, bool) {
	claim, owned := d.directory.Owner(shard.String())
	return claim.Revision, owned
}

func (d *daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.handler.Ready(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// watchTimeout is how long a watch without events lasts. A connection that no
// longer delivers data is detected soon after.
const watchTimeout = time.Second

// reportInterval is the time between two log lines with the increase of the
// counters.
const reportInterval = 10 * time.Second

func (d *daemon) start(ctx context.Context) error {
	ownerCtx, cancelOwners := context.WithCancel(context.Background())
	d.cancelOwners = cancelOwners
	sessionCtx, cancelSession := context.WithCancel(context.Background())
	d.cancelSession = cancelSession
	fleet := &bbrkv.Follower{Store: d.store, Prefix: bbrclaim.FleetPrefix, WatchTimeout: watchTimeout, OnSnapshot: d.directory.Snapshot, OnChange: d.directory.Change}
	upstreams := &upstreamWatcher{daemon: d}
	d.sessionTasks.Go(func() { d.session.Run(sessionCtx) })
	d.sessionTasks.Go(func() { d.acceptor.Run(sessionCtx) })
	d.sessionTasks.Go(func() { d.config.Run(sessionCtx) })
	reporter := &bbrmetric.Reporter{Registry: d.metrics.Registry, Interval: reportInterval}
	d.sessionTasks.Go(func() { reporter.Run(sessionCtx) })
	d.ownerTasks.Go(func() { fleet.Run(ownerCtx) })
	d.ownerTasks.Go(func() { upstreams.run(ownerCtx) })
	d.ownerTasks.Go(func() { d.claimer.Run(ownerCtx) })
	if err := d.servePeers(ctx, sessionCtx); err != nil {
		return err
	}
	for _, server := range d.servers {
		if err := server.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// servePeers answers queries of other entries and runs the failure detector until
// serveCtx ends. It does neither if the settings have no address for peers.
func (d *daemon) servePeers(ctx, serveCtx context.Context) error {
	if !d.settings.Listen.Peers.IsValid() {
		return nil
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", d.settings.Listen.Peers.String())
	if err != nil {
		return err
	}
	server := &bbrinquiry.Server{JobState: d.owners.localState, JobExplanation: d.owners.localExplanation, JobPlacement: d.owners.localPlacement, AcceptHint: d.owners.acceptHint, PingEntry: d.queries.Ping, ServedAt: d.session.ServedAt, RevokeLease: d.store.Revoke, Rooms: d.queries.Rooms, MaxMessageBytes: bbrlimit.MaxMessageBytes(&d.settings.Limits)}
	handover := &bbrclaim.Handover{
		Session:    d.session,
		ClaimCount: d.claimer.Count,
		Peers:      func() []netip.AddrPort { return d.directory.PeerAddresses(d.settings.Entry) },
		AskServed:  d.queries.Served,
		AskRevoke:  d.queries.Revoke,
		Event:      d.countHandover,
	}
	detector := &bbrdetector.Detector{
		Entry:           d.settings.Entry,
		Directory:       d.directory,
		Ping:            d.queries.Ping,
		AskReachability: d.queries.Reachability,
		RevokeLease:     d.store.Revoke,
		Event:           d.metrics.Event,
	}
	d.sessionTasks.Go(func() { detector.Run(serveCtx) })
	d.sessionTasks.Go(func() { handover.Run(serveCtx) })
	d.sessionTasks.Go(func() {
		err := server.Run(serveCtx, d.limits.Listener(bbrlimit.Peers, listener))
		klog.InfoS("Stopped answering queries of other entries", "address", d.settings.Listen.Peers, "reason", bbrlog.ErrorText(err))
	})
	return nil
}

// countHandover counts an event of the hand-over of all claims of an entry that the store
// does not serve.
func (d *daemon) countHandover(event string) {
	d.metrics.Event(event)
	if event == bbrclaim.HandoverBegun {
		d.metrics.Handover("unserved")
	}
}

// stop hands over to other entries: it reports the entry as not ready to the load
// balancer, releases the claims, and serves callers for as long as the balancer may
// still send requests.
func (d *daemon) stop(ctx context.Context) error {
	stopTime := time.Now()
	d.handler.Stop()
	d.cancelOwners()
	d.ownerTasks.Wait()
	if err := d.session.Close(ctx); err != nil {
		klog.InfoS("Failed to revoke the lease of the session", "reason", err.Error())
	}
	klog.InfoS("Handed over", "took", time.Since(stopTime).Round(time.Millisecond))
	bbrpause.For(ctx, d.settings.Shutdown.BalancerLag-time.Since(stopTime))
	graceCtx, cancel := context.WithTimeout(ctx, d.settings.Shutdown.Grace)
	defer cancel()
	var err error
	for _, server := range d.servers {
		if stopErr := server.Stop(graceCtx); stopErr != nil {
			err = stopErr
		}
	}
	d.cancelSession()
	d.sessionTasks.Wait()
	if stopErr := d.queries.Close(); stopErr != nil {
		klog.InfoS("Failed to close connections to other entries", "reason", stopErr.Error())
	}
	return err
}
