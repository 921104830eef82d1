package bbrscheduler

// Reason is why a work unit that is not done has no run.
type Reason string

// Reasons, in the order in which they are looked at.
const (
	// ReasonClaim: the store has not confirmed the owner's claim lately.
	ReasonClaimUnconfirmed Reason = "claimUnconfirmed"
	// ReasonEarlierOwner: an earlier owner may have started the work unit on an
	// upstream that was not reached yet.
	ReasonEarlierWorkUnlocated Reason = "earlierWorkUnlocated"
	// ReasonDue: the occurrence is not due.
	ReasonNotDue Reason = "notDue"
	// ReasonEarlierSteps: steps that come before are not done.
	ReasonEarlierSteps Reason = "earlierSteps"
	// ReasonHorizon: the job is beyond the stored horizon.
	ReasonBeyondHorizon Reason = "beyondHorizon"
	// ReasonGangRuns: members of the gang still have runs.
	ReasonGangStillRuns Reason = "gangStillRuns"
	// ReasonPause: a further attempt is made later.
	ReasonAttemptPaused Reason = "attemptPaused"
	// ReasonNoUpstream: no upstream may take work.
	ReasonNoUsableUpstream Reason = "noUsableUpstream"
	// ReasonNext: an upstream fits.
	ReasonComesNext Reason = "comesNext"
	// ReasonGangInPart: only some members of the gang fit.
	ReasonGangPartlyFits Reason = "gangFitsInPart"
	// ReasonFar: upstreams fit only far from the data.
	ReasonFarFromData Reason = "farFromData"
	// ReasonTicket: the advice service's ticket is missing.
	ReasonTicketMissing Reason = "ticketMissing"
	// ReasonRefused: the advice service names none of the upstreams with room.
	ReasonAdviceRefused Reason = "adviceRefused"
	// ReasonStarting: enough starts are on their way to the upstreams with room.
	ReasonStartsInFlight Reason = "startsOnTheirWay"
	// ReasonRoomEnding: an upstream has the room once work that ends has ended.
	ReasonCapacityUsedByFiniteWork Reason = "roomOfEndingWork"
	// ReasonRoomForFew: the same, but lasting work leaves room for less than half
	// of the step's work units that could be at work on empty upstreams.
	ReasonCapacityForFew Reason = "roomForFew"
	// ReasonTogether: the upstreams with room have as many of the step as they may.
	ReasonMaxPerUpstream Reason = "maxPerUpstream"
	// ReasonRoomInPieces: lasting work leaves the room, but on no upstream enough.
	ReasonCapacityFragmented Reason = "roomInPieces"
	// ReasonRoom: lasting work leaves too little room on all upstreams together.
	ReasonCapacityUsedByLongRunningWork Reason = "roomOfLastingWork"
	// ReasonTooLarge: the work unit does not fit on an empty upstream either.
	ReasonTooLarge Reason = "tooLarge"
	// ReasonLabel: the label is missing on every usable upstream.
	ReasonLabelMissing Reason = "labelMissing"
	// ReasonNotLookedAt: so many steps have waited longer that this one was not
	// looked at.
	ReasonNotEvaluated Reason = "notLookedAt"
)

// Reasons has those that work units whose turn has come may have.
var Reasons = [...]Reason{
	ReasonClaimUnconfirmed, ReasonEarlierWorkUnlocated, ReasonBeyondHorizon, ReasonAttemptPaused, ReasonGangStillRuns, ReasonNoUsableUpstream, ReasonComesNext, ReasonGangPartlyFits,
	ReasonFarFromData, ReasonTicketMissing, ReasonAdviceRefused, ReasonStartsInFlight, ReasonCapacityUsedByFiniteWork, ReasonCapacityForFew, ReasonMaxPerUpstream, ReasonCapacityFragmented, ReasonCapacityUsedByLongRunningWork,
	ReasonTooLarge, ReasonLabelMissing, ReasonNotEvaluated,
}

// Awaited is the one thing that a work unit without a run waits for.
type Awaited string

// What a work unit waits for.
const (
	// AwaitsUpstream is an upstream that is not usable yet, or not there.
	AwaitsUpstream Awaited = "upstream"
	// AwaitsCapacity is room on a usable upstream that becomes free by itself.
	AwaitsCapacity Awaited = "place"
	AwaitsAnswer   Awaited = "answer"
	AwaitsTime     Awaited = "time"
	// AwaitsEarlierWork is the end of other work of the job.
	AwaitsEarlierWork Awaited = "earlierWork"
)

// Responsible is whose next step a work unit waits for.
type Responsible string

// Duties.
const (
	ResponsibleOwner Responsible = "owner"
	// ResponsibleFleetLeader is that of the holder of the fleet duty, which places instances.
	ResponsibleFleetLeader Responsible = "fleetDuty"
)
