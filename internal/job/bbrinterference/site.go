package bbrinterference

import "time"

// ImageID identifies an image within a Tracker. It is never reused. The zero value
// stands for work that is not considered.
type ImageID uint32

// maxSiteImages bounds the images that are considered on one upstream.
const maxSiteImages = 24

// Site has what runs, and ran recently, on one upstream, and the usual level of each
// image there. The zero value is an upstream without work.
type Site struct {
	images []siteImage
	// number spreads the sites of a Tracker over the buckets of its evidence.
	number uint8
	// level is how much slower the work units of a step run here than elsewhere.
	level level
}

// siteImage is an image on one upstream.
type siteImage struct {
	id ImageID
	// load is the sum of the paces of the image's runs, as parts of full speed, and runs
	// their number.
	load float64
	runs int
	// present is the time integral of min(1, load) up to at, in seconds, and shared the
	// same without one run at full speed: what another run of the image experiences.
	present, shared float64
	at              time.Time
	baselines       [kindCount]baseline
}

func (i *siteImage) advance(now time.Time) {
	elapsed := now.Sub(i.at).Seconds()
	i.present += min(1, i.load) * elapsed
	i.shared += min(1, max(0, i.load-1)) * elapsed
	i.at = now
}

// find returns the image on the site; nil if it is not there.
func (s *Site) find(id ImageID) *siteImage {
	for n := range s.images {
		if s.images[n].id == id {
			return &s.images[n]
		}
	}
	return nil
}

// Add records that a run began, at a pace that is a part of full speed.
func (s *Site) Add(id ImageID, pace float64, now time.Time) {
	image := s.find(id)
	if image == nil {
		image = s.place()
		if image == nil {
			return
		}
		*image = siteImage{id: id, at: now}
	}
	image.advance(now)
	image.load += pace
	image.runs++
}

// place returns room for another image; nil if runs of other images take all of it.
func (s *Site) place() *siteImage {
	if len(s.images) < maxSiteImages {
		s.images = append(s.images, siteImage{})
		return &s.images[len(s.images)-1]
	}
	var oldest *siteImage
	for n := range s.images {
		image := &s.images[n]
		if image.runs == 0 && (oldest == nil || image.at.Before(oldest.at)) {
			oldest = image
		}
	}
	return oldest
}

// Remove records that a run ended, which had the pace.
func (s *Site) Remove(id ImageID, pace float64, now time.Time) {
	image := s.find(id)
	if image == nil || image.runs == 0 {
		return
	}
	image.advance(now)
	image.runs--
	image.load -= pace
	if image.runs == 0 {
		image.load = 0
	}
}

// SetPace records that a run changed its pace.
func (s *Site) SetPace(id ImageID, before, after float64, now time.Time) {
	if image := s.find(id); image != nil && image.runs > 0 {
		image.advance(now)
		image.load += after - before
	}
}

// Conflict is an image that is to be kept apart from another one.
type Conflict struct {
	image ImageID
	// effect is the sum of the effects of either on the other.
	effect float64
}

// Harm returns the sum of the effects of those conflicts whose images run on the site.
func (s *Site) Harm(conflicts []Conflict) float64 {
	harm := 0.0
	for _, conflict := range conflicts {
		if image := s.find(conflict.image); image != nil && image.runs > 0 {
			harm += conflict.effect
		}
	}
	return harm
}

// Mark is the state of a site at the beginning of an observation.
type Mark struct {
	since  time.Time
	images [maxSiteImages]marked
}

type marked struct {
	id              ImageID
	present, shared float64
}

// Mark records the state of the site now.
func (s *Site) Mark(m *Mark, now time.Time) {
	*m = Mark{since: now}
	for n := range s.images {
		image := &s.images[n]
		image.advance(now)
		m.images[n] = marked{id: image.id, present: image.present, shared: image.shared}
	}
}

// exposure is the part of an observation's time in which a neighbour ran beside it. It is
// a difference of two such parts after a comparison with other observations.
type exposure struct {
	neighbour ImageID
	amount    float64
}

// exposures appends the exposures of the image since the mark. The expected value does
// not depend on the length of the observation: otherwise long runs, which meet more
// neighbours, would be evidence against all of them.
func (s *Site) exposures(affected ImageID, m *Mark, now time.Time, list []exposure) []exposure {
	elapsed := now.Sub(m.since).Seconds()
	if elapsed <= 0 {
		return list
	}
	for n := range s.images {
		image := &s.images[n]
		image.advance(now)
		var before marked
		if m.images[n].id == image.id {
			before = m.images[n]
		}
		amount := image.present - before.present
		if image.id == affected {
			amount = image.shared - before.shared
		}
		if amount > 0 {
			list = append(list, exposure{image.id, min(1, amount/elapsed)})
		}
	}
	return list
}
