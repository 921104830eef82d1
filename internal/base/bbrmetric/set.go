package bbrmetric

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// Set contains the metrics of one process.
type Set struct {
	Registry *prometheus.Registry

	answers         *prometheus.CounterVec
	refusals        *prometheus.CounterVec
	retries         *prometheus.CounterVec
	events          *prometheus.CounterVec
	controlBytes    *prometheus.CounterVec
	bodyBytes       *prometheus.CounterVec
	lapsedRuns      *prometheus.CounterVec
	expiredLeases   *prometheus.CounterVec
	incarnations    *prometheus.CounterVec
	slowWaits       *prometheus.CounterVec
	crashVerdicts   *prometheus.CounterVec
	cellChoices     *prometheus.CounterVec
	handovers       *prometheus.CounterVec
	jobTransfers    *prometheus.CounterVec
	roomMilliCPU    *prometheus.GaugeVec
	roomDrain       *prometheus.GaugeVec
	unlocated       *prometheus.GaugeVec
	oldestWaits     *prometheus.GaugeVec
	suspects        *prometheus.GaugeVec
	organisations   *prometheus.GaugeVec
	callDurations   *prometheus.HistogramVec
	storeDurations  *prometheus.HistogramVec
	loadDurations   prometheus.Histogram
	loadReads       *prometheus.CounterVec
	unloaded        *prometheus.GaugeVec
	transactions    *prometheus.HistogramVec
	unsettled       *prometheus.GaugeVec
	horizonWaits    prometheus.Histogram
	planDelays      prometheus.Histogram
	renewals        *prometheus.HistogramVec
	extensionAges   prometheus.Histogram
	reservationEnds *prometheus.CounterVec
	preemptions     *prometheus.CounterVec
	shortfalls      *prometheus.CounterVec
	excluded        *prometheus.GaugeVec
	lateWork        *prometheus.GaugeVec
	preemptedTime   *prometheus.CounterVec
	reservations    *prometheus.GaugeVec
	separations     *prometheus.CounterVec
	vacancyEnds     *prometheus.CounterVec
	vacancyMoves    *prometheus.CounterVec
	vacated         *prometheus.GaugeVec
	interfering     *prometheus.GaugeVec
	shares          *prometheus.GaugeVec
	clientsClosed   *prometheus.CounterVec
	connections     *prometheus.GaugeVec
}

// New returns a set that is registered with a new registry.
func New() *Set {
	s := &Set{Registry: prometheus.NewRegistry()}
	s.answers = s.newCounter("bbr_answers_total", "Final answers to callers by outcome.", "outcome")
	s.refusals = s.newCounter("bbr_refusals_total", "Refused requests and commands by result code.", "code", "name")
	s.retries = s.newCounter("bbr_retries_total", "Further attempts by the failure that led to them.", "reason")
	s.events = s.newCounter("bbr_events_total", "Changes of state by kind.", "event")
	s.controlBytes = s.newCounter("bbr_control_bytes_total", "Bytes of control connections.", "channel", "direction")
	s.bodyBytes = s.newCounter("bbr_body_bytes_total", "Bytes of the bodies of calls to the platform and to upstreams.", "purpose", "direction")
	s.slowWaits = s.newCounter("bbr_slow_waits_total", "Work units that waited over 3 s for a run, by reason.", "reason")
	s.lapsedRuns = s.newCounter("bbr_lapsed_runs_total", "Runs whose lease expired on an upstream that lives, by cause.", "cause")
	s.expiredLeases = s.newCounter("bbr_expired_leases_total", "Leases of silent upstreams that ended with runs, by what bounded them.", "boundBy")
	s.incarnations = s.newCounter("bbr_other_incarnations_total", "Listings that showed another incarnation of an upstream than the known one.")
	s.crashVerdicts = s.newCounter("bbr_crash_verdicts_total", "What crashes of upstreams meant for the work units that ran there.", "verdict")
	s.cellChoices = s.newCounter("bbr_cell_choices_total", "Jobs for which the entry chose a cell, with jobs.balanceByCapacity, by the reason for the choice.", "reason")
	s.shortfalls = s.newCounter("bbr_capacity_shortfalls_total", "Partitions that a round of the fleet leader left below their target size, by reason.", "reason")
	s.handovers = s.newCounter("bbr_handovers_total", "Hand-overs that this entry began while running, by cause.", "cause")
	s.jobTransfers = s.newCounter("bbr_job_transfers_total", "Jobs that waited for capacity and were considered for another cell of their service, by outcome; noOffer counts each job in each round.", "outcome")
	s.roomMilliCPU = s.newGauge("bbr_room_millicores", "Usable processor capacity of a shard for finite work, with jobs.balanceByCapacity.", "shard")
	s.roomDrain = s.newGauge("bbr_room_drain_seconds", "Time that a shard's usable capacity needs for its open finite work, with jobs.balanceByCapacity.", "shard")
	s.reservationEnds = s.newCounter("bbr_reservations_ended_total", "Reservations of capacity for wide or urgent work that ended, by cause.", "cause")
	s.preemptions = s.newCounter("bbr_preemptions_total", "Runs that were stopped for more urgent work.")
	s.preemptedTime = s.newCounter("bbr_preempted_core_seconds_total", "Processor time since their last checkpoints of the runs that were stopped for more urgent work.")
	s.reservations = s.newGauge("bbr_reservations", "Reservations of capacity for wide or urgent work, and the upstreams that they hold, by shard.", "shard", "amount")
	s.vacancyEnds = s.newCounter("bbr_vacancies_ended_total", "Upstreams that were vacated of long-running work for wide work, by the cause of the end.", "cause")
	s.vacancyMoves = s.newCounter("bbr_vacancy_moves_total", "Runs of long-running work that were stopped to vacate an upstream for wide work.")
	s.vacated = s.newGauge("bbr_vacated_upstreams", "Upstreams that are vacated of long-running work for wide work, by shard.", "shard")
	s.separations = s.newCounter("bbr_separations_total", "Starts of work units whose image interferes with another one: on an upstream without the other one, or beside it.", "result")
	s.interfering = s.newGauge("bbr_interfering_pairs", "Pairs of images that were found to slow each other down, by shard.", "shard")
	s.unlocated = s.newGauge("bbr_unlocated_upstreams", "Upstreams on which an earlier owner of the shard may have started work that its successor does not know yet.", "shard")
	s.loadReads = s.newCounter("bbr_load_reads_total", "Attempts to read a part of what is stored about a shard after its claim, by part and outcome.", "stage", "outcome")
	s.unloaded = s.newGauge("bbr_unloaded_claim_seconds", "Age of the claim of a shard that this entry has claimed and not loaded yet.", "shard")
	s.unsettled = s.newGauge("bbr_unsettled_transaction_seconds", "Time since the owner of a shard first sent its transaction whose outcome it does not know yet; 0 if there is none.", "shard")
	s.excluded = s.newGauge("bbr_excluded_upstreams", "Upstreams of a shard that may not take work, by reason.", "shard", "reason")
	s.lateWork = s.newGauge("bbr_late_work", "Units of finite work that wait past the objective of their job, and reserved upstreams on which the one that has waited longest of all finite work would fit, by shard.", "shard", "amount")
	s.clientsClosed = s.newCounter("bbr_client_closes_total", "Connections of clients that are closed because of a limit, by listener and reason.", "listener", "reason")
	s.connections = s.newGauge("bbr_client_connections", "Open connections of clients by listener.", "listener")
	s.suspects = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "bbr_crash_suspects",
		Help: "Work units under which upstreams crashed and that are not cleared, and those of them that run alone, by shard.",
	}, []string{"shard", "standing"})
	s.oldestWaits = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "bbr_oldest_wait_seconds",
		Help: "Time for which the oldest work unit that could run has had no run, by shard and reason.",
	}, []string{"shard", "reason"})
	s.callDurations = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "bbr_call_seconds",
		Help:    "Time to answer a caller by method and result.",
		Buckets: []float64{.005, .01, .02, .05, .1, .2, .5, 1, 2, 5},
	}, []string{"method", "name"})
	s.storeDurations = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "bbr_store_seconds",
		Help:    "Time of calls to the platform's store by kind and outcome.",
		Buckets: []float64{.005, .01, .02, .05, .1, .2, .5, 1, 2, 5},
	}, []string{"call", "outcome"})
	s.loadDurations = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "bbr_load_seconds",
		Help:    "Time from the claim of a shard until everything that is stored about it has been read.",
		Buckets: []float64{.01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 20, 50, 100},
	})
	s.transactions = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "bbr_transaction_seconds",
		Help:    "Time from the first sending of a transaction of a shard's owner until its outcome was known, by outcome.",
		Buckets: []float64{.005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 20},
	}, []string{"outcome"})
	s.horizonWaits = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "bbr_horizon_wait_seconds",
		Help:    "Time for which jobs beyond the stored horizon of a shard waited until a higher one was stored.",
		Buckets: []float64{.005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 20},
	})
	s.planDelays = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "bbr_plan_delay_seconds",
		Help:    "Time from the beginning of a planning round of an owner to that of the next one, beyond the interval of 100 ms.",
		Buckets: []float64{.005, .01, .02, .05, .1, .2, .5, 1, 2, 5},
	})
	s.renewals = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "bbr_renewal_seconds",
		Help:    "Time of renewals of run leases by outcome, with up to 1 s in which the upstream waits for a run to end.",
		Buckets: []float64{.005, .01, .02, .05, .1, .2, .5, 1, 1.2, 1.5, 2, 5},
	}, []string{"outcome"})
	s.extensionAges = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "bbr_lease_extension_age_seconds",
		Help:    "Time between the answers to two renewals that extended the run lease of an upstream with runs.",
		Buckets: []float64{.01, .02, .05, .1, .2, .5, 1, 1.5, 2, 3, 4, 4.5, 5, 6, 10},
	})
	s.organisations = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "bbr_organisation_millicores",
		Help: "Processor capacity of an organisation in a shard: what its work uses, the share of its cap, and the whole cap.",
	}, []string{"shard", "organisation", "amount"})
	s.shares = s.newGauge("bbr_organisation_share", "Dominant share of an organisation in a shard whose capacity is short: what counts as used, the fair share, and what waits.", "shard", "organisation", "amount")
	s.Registry.MustRegister(s.suspects, s.organisations, s.oldestWaits, s.callDurations, s.storeDurations, s.loadDurations, s.transactions, s.horizonWaits, s.planDelays, s.renewals, s.extensionAges)
	return s
}

// Call records an answer to a caller of the jobs API, a refusal if its status is an
// error, and the time that it took.
func (s *Set) Call(method string, code bbrcode.Code, duration time.Duration) {
	info := code.Info()
	s.callDurations.WithLabelValues(method, info.Name).Observe(duration.Seconds())
	if info.Status >= http.StatusBadRequest {
		s.Refusal(code)
	}
}

// StoreCall records a call to the store and the time that it took.
func (s *Set) StoreCall(call, outcome string, duration time.Duration) {
	s.storeDurations.WithLabelValues(call, outcome).Observe(duration.Seconds())
}

// Loaded records the time that an owner took to load its shard.
func (s *Set) Loaded(duration time.Duration) { s.loadDurations.Observe(duration.Seconds()) }

// LoadRead counts an attempt to read a part of what is stored about a shard.
func (s *Set) LoadRead(stage, outcome string) { s.loadReads.WithLabelValues(stage, outcome).Inc() }

// SetUnloaded sets the age of the claim of a shard that is not loaded.
func (s *Set) SetUnloaded(shard string, age time.Duration) {
	s.unloaded.WithLabelValues(shard).Set(age.Seconds())
}

// ClearUnloaded removes the gauge of a shard that is loaded, or has no owner here.
func (s *Set) ClearUnloaded(shard string) { s.unloaded.DeleteLabelValues(shard) }

// Transaction records a transaction of a shard's owner and the time until its outcome was
// known.
func (s *Set) Transaction(outcome string, duration time.Duration) {
	s.transactions.WithLabelValues(outcome).Observe(duration.Seconds())
}

// HorizonWait records for how long jobs waited for a higher horizon.
func (s *Set) HorizonWait(duration time.Duration) { s.horizonWaits.Observe(duration.Seconds()) }

// SetUnsettled sets the age of a shard's unsettled transaction.
func (s *Set) SetUnsettled(shard string, age time.Duration) {
	s.unsettled.WithLabelValues(shard).Set(age.Seconds())
}

// ClearUnsettled removes the gauge of a shard that has no owner here.
func (s *Set) ClearUnsettled(shard string) { s.unsettled.DeleteLabelValues(shard) }

// PlanDelay records by how much a planning round of an owner began late.
func (s *Set) PlanDelay(delay time.Duration) { s.planDelays.Observe(delay.Seconds()) }

// Renewal records a renewal of a run lease and the time that it took.
func (s *Set) Renewal(outcome string, duration time.Duration) {
	s.renewals.WithLabelValues(outcome).Observe(duration.Seconds())
}

// LeaseExtension records the time since a run lease was extended before.
func (s *Set) LeaseExtension(age time.Duration) { s.extensionAges.Observe(age.Seconds()) }

func (s *Set) newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	s.Registry.MustRegister(counter)
	return counter
}

func (s *Set) newGauge(name, help string, labels ...string) *prometheus.GaugeVec {
	gauge := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
	s.Registry.MustRegister(gauge)
	return gauge
}

// CellChoice counts a job by the reason for the choice of its cell.
func (s *Set) CellChoice(reason string) { s.cellChoices.WithLabelValues(reason).Inc() }

// Handover counts a hand-over by its cause.
func (s *Set) Handover(cause string) { s.handovers.WithLabelValues(cause).Inc() }

// JobTransfers counts jobs that were considered for another cell by the outcome.
func (s *Set) JobTransfers(outcome string, count int) {
	s.jobTransfers.WithLabelValues(outcome).Add(float64(count))
}

// CapacityShortfall counts a partition that a round left below its target size.
func (s *Set) CapacityShortfall(reason string) { s.shortfalls.WithLabelValues(reason).Inc() }

// SetRoom sets a shard's usable capacity, in thousandths of a core, and how long that needs
// for the open work.
func (s *Set) SetRoom(shard string, milliCPU int, drain time.Duration) {
	s.roomMilliCPU.WithLabelValues(shard).Set(float64(milliCPU))
	s.roomDrain.WithLabelValues(shard).Set(drain.Seconds())
}

// ClearRoom removes the gauges of a shard's room.
func (s *Set) ClearRoom(shard string) {
	s.roomMilliCPU.DeleteLabelValues(shard)
	s.roomDrain.DeleteLabelValues(shard)
}

// Answer counts a final answer, and a refusal unless the work ran.
func (s *Set) Answer(code bbrcode.Code) {
	info := code.Info()
	s.answers.WithLabelValues(info.Outcome.String()).Inc()
	if info.Outcome != bbrcode.OutcomeRan {
		s.Refusal(code)
	}
}

// Refusal counts a refusal by its code.
func (s *Set) Refusal(code bbrcode.Code) {
	s.refusals.WithLabelValues(strconv.Itoa(int(code)), code.String()).Inc()
}

// ClientClosed counts a client's connection that is closed because of a limit.
func (s *Set) ClientClosed(listener, reason string) {
	s.clientsClosed.WithLabelValues(listener, reason).Inc()
}

// SetConnections sets how many connections of clients a listener has.
func (s *Set) SetConnections(listener string, count int) {
	s.connections.WithLabelValues(listener).Set(float64(count))
}

// Retry counts a further attempt.
func (s *Set) Retry(reason string) { s.retries.WithLabelValues(reason).Inc() }

// Event counts an event, such as a change of state.
func (s *Set) Event(event string) { s.events.WithLabelValues(event).Inc() }

// SlowWaits adds count work units that waited for over 3 s for the reason.
func (s *Set) SlowWaits(reason string, count int) {
	s.slowWaits.WithLabelValues(reason).Add(float64(count))
}

// LapsedRuns adds count runs whose lease expired on an upstream that lives.
func (s *Set) LapsedRuns(cause string, count int) {
	s.lapsedRuns.WithLabelValues(cause).Add(float64(count))
}

// ExpiredLeases adds count leases of silent upstreams that ended with runs.
func (s *Set) ExpiredLeases(boundBy string, count int) {
	s.expiredLeases.WithLabelValues(boundBy).Add(float64(count))
}

// OtherIncarnations adds count listings that showed another incarnation than the known one.
func (s *Set) OtherIncarnations(count int) {
	s.incarnations.WithLabelValues().Add(float64(count))
}

// CrashVerdicts adds count verdicts about work units under which upstreams crashed.
func (s *Set) CrashVerdicts(verdict string, count int) {
	s.crashVerdicts.WithLabelValues(verdict).Add(float64(count))
}

// SetSuspects sets how many of the shard's work units are suspected of crashing upstreams,
// and how many of these are isolated.
func (s *Set) SetSuspects(shard string, all, isolated int) {
	s.suspects.WithLabelValues(shard, "all").Set(float64(all))
	s.suspects.WithLabelValues(shard, "isolated").Set(float64(isolated))
}

// ClearSuspects removes the gauges of a shard's suspects.
func (s *Set) ClearSuspects(shard string) {
	s.suspects.DeletePartialMatch(prometheus.Labels{"shard": shard})
}

// SetExcluded sets how many of a shard's upstreams may not take work, by reason. Reasons
// that are not in counts have none.
func (s *Set) SetExcluded(shard string, counts map[string]int) {
	s.ClearExcluded(shard)
	for reason, count := range counts {
		s.excluded.WithLabelValues(shard, reason).Set(float64(count))
	}
}

// ClearExcluded removes the gauges of a shard's excluded upstreams.
func (s *Set) ClearExcluded(shard string) {
	s.excluded.DeletePartialMatch(prometheus.Labels{"shard": shard})
}

// SetLateWork sets how many units of finite work wait past the objective of their job, and
// on how many reserved upstreams the finite work unit that has waited longest would fit.
func (s *Set) SetLateWork(shard string, units, reservedFits int) {
	s.lateWork.WithLabelValues(shard, "units").Set(float64(units))
	s.lateWork.WithLabelValues(shard, "reservedFits").Set(float64(reservedFits))
}

// ClearLateWork removes the gauges of a shard's late work.
func (s *Set) ClearLateWork(shard string) {
	s.lateWork.DeletePartialMatch(prometheus.Labels{"shard": shard})
}

// ReservationsEnded adds count reservations that ended for the cause.
func (s *Set) ReservationsEnded(cause string, count int) {
	s.reservationEnds.WithLabelValues(cause).Add(float64(count))
}

// Preemptions adds count runs that were stopped for more urgent work, and the processor
// time that this discarded.
func (s *Set) Preemptions(count int, discarded time.Duration) {
	s.preemptions.WithLabelValues().Add(float64(count))
	s.preemptedTime.WithLabelValues().Add(discarded.Seconds())
}

// SetReservations sets how many reservations a shard has, and how many upstreams they
// hold.
func (s *Set) SetReservations(shard string, active, upstreams int) {
	s.reservations.WithLabelValues(shard, "reservations").Set(float64(active))
	s.reservations.WithLabelValues(shard, "upstreams").Set(float64(upstreams))
}

// ClearReservations removes the gauges of a shard's reservations.
func (s *Set) ClearReservations(shard string) {
	s.reservations.DeletePartialMatch(prometheus.Labels{"shard": shard})
}

// VacanciesEnded adds count vacated upstreams that ceased to be kept, for the cause.
func (s *Set) VacanciesEnded(cause string, count int) {
	s.vacancyEnds.WithLabelValues(cause).Add(float64(count))
}

// VacancyMoves adds count runs that were stopped to vacate an upstream.
func (s *Set) VacancyMoves(count int) {
	s.vacancyMoves.WithLabelValues().Add(float64(count))
}

// SetVacated sets how many upstreams of a shard are vacated.
func (s *Set) SetVacated(shard string, count int) {
	s.vacated.WithLabelValues(shard).Set(float64(count))
}

// ClearVacated removes the gauge of a shard's vacated upstreams.
func (s *Set) ClearVacated(shard string) { s.vacated.DeleteLabelValues(shard) }

// Separations adds count starts of work units whose image interferes with another one.
func (s *Set) Separations(result string, count int) {
	s.separations.WithLabelValues(result).Add(float64(count))
}

// SetInterferingPairs sets how many pairs of images are found in a shard.
func (s *Set) SetInterferingPairs(shard string, pairs int) {
	s.interfering.WithLabelValues(shard).Set(float64(pairs))
}

// ClearInterferingPairs removes the gauge of a shard's interfering pairs.
func (s *Set) ClearInterferingPairs(shard string) { s.interfering.DeleteLabelValues(shard) }

// SetOldestWait sets how long the oldest of the shard's work units that wait for the
// reason has waited for a run.
func (s *Set) SetOldestWait(shard, reason string, waited time.Duration) {
	s.oldestWaits.WithLabelValues(shard, reason).Set(waited.Seconds())
}

// ClearOldestWait removes the gauge: none of the shard's work units waits for the
// reason.
func (s *Set) ClearOldestWait(shard, reason string) { s.oldestWaits.DeleteLabelValues(shard, reason) }

// SetUnlocated sets on how many upstreams a shard may have work that is not located.
func (s *Set) SetUnlocated(shard string, upstreams int) {
	s.unlocated.WithLabelValues(shard).Set(float64(upstreams))
}

// ClearUnlocated removes the gauge of a shard's unlocated work.
func (s *Set) ClearUnlocated(shard string) { s.unlocated.DeleteLabelValues(shard) }

// SetOrganisation sets what an organisation uses in a shard, the shard's share of its
// cap, and the cap, in thousandths of a core.
func (s *Set) SetOrganisation(shard, organisation string, used, share, limit int) {
	s.organisations.WithLabelValues(shard, organisation, "used").Set(float64(used))
	s.organisations.WithLabelValues(shard, organisation, "share").Set(float64(share))
	s.organisations.WithLabelValues(shard, organisation, "cap").Set(float64(limit))
}

// SetShare sets the part of a shard's capacity that counts as used by an organisation, its
// fair share, and the part that its waiting work needs.
func (s *Set) SetShare(shard, organisation string, used, fair, waiting float64) {
	s.shares.WithLabelValues(shard, organisation, "used").Set(used)
	s.shares.WithLabelValues(shard, organisation, "fair").Set(fair)
	s.shares.WithLabelValues(shard, organisation, "waiting").Set(waiting)
}

// ClearOrganisations removes the gauges of a shard's organisations.
func (s *Set) ClearOrganisations(shard string) {
	s.organisations.DeletePartialMatch(prometheus.Labels{"shard": shard})
	s.shares.DeletePartialMatch(prometheus.Labels{"shard": shard})
}

// Gauge registers a gauge that is read at each scrape.
func (s *Set) Gauge(name, help string, read func() float64) {
	s.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// BodyBytes counts the bytes of a call's request and response bodies by the purpose of
// the call.
func (s *Set) BodyBytes(purpose string, sent, received int) {
	s.bodyBytes.WithLabelValues(purpose, "out").Add(float64(sent))
	s.bodyBytes.WithLabelValues(purpose, "in").Add(float64(received))
}

// ControlBytes returns the counter of the channel's bytes in the direction.
func (s *Set) ControlBytes(channel, direction string) prometheus.Counter {
	return s.controlBytes.WithLabelValues(channel, direction)
}
