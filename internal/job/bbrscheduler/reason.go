package bbrscheduler

// Reason is why a work unit that is not done has no run.
type Reason string

// Values of Reason. Those up to ReasonNoUsableUpstream are in the order in which
// they are checked; blockers.reason has the order of the others.
const (
	// ReasonClaimUnconfirmed: the store has not confirmed the owner's claim lately.
	ReasonClaimUnconfirmed Reason = "claimUnconfirmed"
	// ReasonEarlierWorkUnlocated: an earlier owner may have started the work unit
	// on an upstream that has not answered this owner yet.
	ReasonEarlierWorkUnlocated Reason = "earlierWorkUnlocated"
	// ReasonNotDue: the occurrence is not due.
	ReasonNotDue Reason = "notDue"
	// ReasonEarlierSteps: steps on which this one depends are not done.
	ReasonEarlierSteps Reason = "earlierSteps"
	// ReasonBeyondHorizon: the job is beyond the stored horizon.
	ReasonBeyondHorizon Reason = "beyondHorizon"
	// ReasonGangStillRuns: members of the gang still have runs.
	ReasonGangStillRuns Reason = "gangStillRuns"
	// ReasonAttemptPaused: the next attempt follows after a pause.
	ReasonAttemptPaused Reason = "attemptPaused"
	// ReasonLateStart: a start without an answer may still be carried out by its upstream,
	// which is away or has no room.
	ReasonLateStart Reason = "lateStart"
	// ReasonCrashSuspect: upstreams crashed under the work unit; it waits until that is
	// stored, or for an upstream where it can be tried alone.
	ReasonCrashSuspect Reason = "crashSuspect"
	// ReasonOrganisationCap: the shard has no share left of the cap of the job's
	// organisation.
	ReasonOrganisationCap Reason = "organisationCap"
	// ReasonJobsNotLoaded: the work unit may start once jobs are loaded of which upstreams
	// list runs, which need an unknown part of the capacity or of the organisation's cap.
	ReasonJobsNotLoaded Reason = "jobsNotLoaded"
	// ReasonNoUsableUpstream: no upstream may take work.
	ReasonNoUsableUpstream Reason = "noUsableUpstream"
	// ReasonComesNext: the work unit fits on an upstream and starts next.
	ReasonComesNext Reason = "comesNext"
	// ReasonOrderUnstored: the long-running work unit starts once the number and the upstream
	// of its next run are stored.
	ReasonOrderUnstored Reason = "runNumberUnstored"
	// ReasonGangPartlyFits: only some members of the gang fit.
	ReasonGangPartlyFits Reason = "gangFitsInPart"
	// ReasonFarFromData: the work unit fits only on upstreams far from its data.
	ReasonFarFromData Reason = "farFromData"
	// ReasonTicketMissing: the step has no valid ticket of the advice service for an
	// upstream with free capacity.
	ReasonTicketMissing Reason = "ticketMissing"
	// ReasonAdviceRefused: the advice service permits none of the upstreams with
	// free capacity.
	ReasonAdviceRefused Reason = "adviceRefused"
	// ReasonStartsInFlight: the upstreams with free capacity have the maximum of
	// starts in flight.
	ReasonStartsInFlight Reason = "startsOnTheirWay"
	// ReasonReservationHeld: capacity is reserved for the step and becomes free when
	// finite work ends.
	ReasonReservationHeld Reason = "reservationHeld"
	// ReasonCapacityReserved: the upstreams with free capacity keep it for wide or
	// urgent work.
	ReasonCapacityReserved Reason = "capacityReserved"
	// ReasonCapacityUsedByFiniteWork: an upstream has the capacity once finite work
	// has ended.
	ReasonCapacityUsedByFiniteWork Reason = "roomOfEndingWork"
	// ReasonCapacityForFew: an upstream has the capacity once finite work has
	// ended, but beside long-running work there is capacity for less than half of
	// the step's work units that could run at once on empty upstreams.
	ReasonCapacityForFew Reason = "roomForFew"
	// ReasonMaxPerUpstream: the upstreams with free capacity run as many units of
	// the step as they may.
	ReasonMaxPerUpstream Reason = "maxPerUpstream"
	// ReasonCapacityFragmented: the capacity beside long-running work suffices in
	// sum, but on no single upstream.
	ReasonCapacityFragmented Reason = "roomInPieces"
	// ReasonCapacityUsedByLongRunningWork: the capacity beside long-running work
	// does not suffice even in sum.
	ReasonCapacityUsedByLongRunningWork Reason = "roomOfLastingWork"
	// ReasonTooLarge: the work unit does not fit on an empty upstream either.
	ReasonTooLarge Reason = "tooLarge"
	// ReasonLabelMissing: no usable upstream has the label.
	ReasonLabelMissing Reason = "labelMissing"
	// ReasonNotEvaluated: the reason was not determined, as too many steps have
	// waited longer.
	ReasonNotEvaluated Reason = "notLookedAt"
)

// Reasons lists the reasons that an eligible work unit can have.
var Reasons = [...]Reason{
	ReasonClaimUnconfirmed, ReasonEarlierWorkUnlocated, ReasonBeyondHorizon, ReasonAttemptPaused, ReasonGangStillRuns, ReasonLateStart, ReasonCrashSuspect, ReasonOrganisationCap, ReasonJobsNotLoaded, ReasonNoUsableUpstream, ReasonComesNext, ReasonOrderUnstored, ReasonGangPartlyFits,
	ReasonFarFromData, ReasonTicketMissing, ReasonAdviceRefused, ReasonStartsInFlight, ReasonReservationHeld, ReasonCapacityReserved, ReasonCapacityUsedByFiniteWork, ReasonCapacityForFew, ReasonMaxPerUpstream, ReasonCapacityFragmented, ReasonCapacityUsedByLongRunningWork,
	ReasonTooLarge, ReasonLabelMissing, ReasonNotEvaluated,
}

// Awaited is what a work unit without a run waits for.
type Awaited string

// Values of Awaited.
const (
	// AwaitsUpstream: an upstream that is not usable yet or does not exist.
	AwaitsUpstream Awaited = "upstream"
	// AwaitsCapacity: capacity of a usable upstream that becomes free without
	// further action.
	AwaitsCapacity Awaited = "place"
	AwaitsAnswer   Awaited = "answer"
	AwaitsTime     Awaited = "time"
	// AwaitsEarlierWork: the end of other work of the job.
	AwaitsEarlierWork Awaited = "earlierWork"
)

// Responsible is the party that has to act next for a waiting work unit.
type Responsible string

// Values of Responsible.
const (
	ResponsibleOwner Responsible = "owner"
	// ResponsibleFleetLeader: the fleet leader, which places instances.
	ResponsibleFleetLeader Responsible = "fleetDuty"
)
