package bbrscheduler

// Reason is why a work unit that is not done has no run.
type Reason string

// Reasons, in the order in which they are looked at.
const (
	// ReasonClaim: the store has not confirmed the owner's claim lately.
	ReasonClaim Reason = "claimUnconfirmed"
	// ReasonEarlierOwner: an earlier owner may have started the work unit on an
	// upstream that was not reached yet.
	ReasonEarlierOwner Reason = "earlierWorkUnlocated"
	// ReasonDue: the occurrence is not due.
	ReasonDue Reason = "notDue"
	// ReasonEarlierSteps: steps that come before are not done.
	ReasonEarlierSteps Reason = "earlierSteps"
	// ReasonHorizon: the job is beyond the stored horizon.
	ReasonHorizon Reason = "beyondHorizon"
	// ReasonGangRuns: members of the gang still have runs.
	ReasonGangRuns Reason = "gangStillRuns"
	// ReasonPause: a further attempt is made later.
	ReasonPause Reason = "attemptPaused"
	// ReasonNoUpstream: no upstream may take work.
	ReasonNoUpstream Reason = "noUsableUpstream"
	// ReasonNext: an upstream fits.
	ReasonNext Reason = "comesNext"
	// ReasonGangInPart: only some members of the gang fit.
	ReasonGangInPart Reason = "gangFitsInPart"
	// ReasonFar: upstreams fit only far from the data.
	ReasonFar Reason = "farFromData"
	// ReasonTicket: the advice service's ticket is missing.
	ReasonTicket Reason = "ticketMissing"
	// ReasonRefused: the advice service names none of the upstreams with room.
	ReasonRefused Reason = "adviceRefused"
	// ReasonStarting: enough starts are on their way to the upstreams with room.
	ReasonStarting Reason = "startsOnTheirWay"
	// ReasonRoomEnding: an upstream has the room once work that ends has ended.
	ReasonRoomEnding Reason = "roomOfEndingWork"
	// ReasonRoomForFew: the same, but lasting work leaves room for less than half
	// of the step's work units that could be at work on empty upstreams.
	ReasonRoomForFew Reason = "roomForFew"
	// ReasonTogether: the upstreams with room have as many of the step as they may.
	ReasonTogether Reason = "maxPerUpstream"
	// ReasonRoomInPieces: lasting work leaves the room, but on no upstream enough.
	ReasonRoomInPieces Reason = "roomInPieces"
	// ReasonRoom: lasting work leaves too little room on all upstreams together.
	ReasonRoom Reason = "roomOfLastingWork"
	// ReasonTooLarge: the work unit does not fit on an empty upstream either.
	ReasonTooLarge Reason = "tooLarge"
	// ReasonLabel: the label is missing on every usable upstream.
	ReasonLabel Reason = "labelMissing"
	// ReasonNotLookedAt: so many steps have waited longer that this one was not
	// looked at.
	ReasonNotLookedAt Reason = "notLookedAt"
)

// Reasons has those that work units whose turn has come may have.
var Reasons = [...]Reason{
	ReasonClaim, ReasonEarlierOwner, ReasonHorizon, ReasonPause, ReasonGangRuns, ReasonNoUpstream, ReasonNext, ReasonGangInPart,
	ReasonFar, ReasonTicket, ReasonRefused, ReasonStarting, ReasonRoomEnding, ReasonRoomForFew, ReasonTogether, ReasonRoomInPieces, ReasonRoom,
	ReasonTooLarge, ReasonLabel, ReasonNotLookedAt,
}

// Awaited is the one thing that a work unit without a run waits for.
type Awaited string

// What a work unit waits for.
const (
	// AwaitsUpstream is an upstream that is not usable yet, or not there.
	AwaitsUpstream Awaited = "upstream"
	// AwaitsPlace is room on a usable upstream that becomes free by itself.
	AwaitsPlace  Awaited = "place"
	AwaitsAnswer Awaited = "answer"
	AwaitsTime   Awaited = "time"
	// AwaitsWork is the end of other work of the job.
	AwaitsWork Awaited = "earlierWork"
)

// Duty is whose next step a work unit waits for.
type Duty string

// Duties.
const (
	DutyOwner Duty = "owner"
	// DutyFleet is that of the holder of the fleet duty, which places instances.
	DutyFleet Duty = "fleetDuty"
)
