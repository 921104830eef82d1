package bbrwork

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/bluebellridge/bluebellridge/internal/base/bbrcode"
)

// Organisation is a customer whose callers submit jobs.
type Organisation struct {
	Name string
	// Keys has the digests of the keys with which its callers authenticate.
	Keys []KeyDigest
	// Weight is the number of jobs a second to which the organisation is entitled
	// while capacity is short; 0 if it has no share of its own.
	Weight float64
	// Cap bounds what the organisation's work units may use at the same time on all
	// upstreams together. A dimension that is 0 is not bounded.
	Cap Resources
}

// KeyDigest is the digest of a caller's key. The key itself is not stored, so that it
// cannot reach a log line, a metric or an answer.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// shortDigestBytes is the length of the part of a digest that logs show.
const shortDigestBytes = 4

// String returns the beginning of the digest in hexadecimal digits, for logs.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:shortDigestBytes]) }

// WithOrganisations returns the configuration with organisations. Callers of queues
// that are not public then need a key of one of them. It returns an error if an
// organisation or a key is ambiguous or a figure is negative.
func (c *Config) WithOrganisations(organisations []*Organisation) (*Config, error) {
	config := *c
	config.Organisations = make(map[string]*Organisation, len(organisations))
	config.byKey = make(map[KeyDigest]*Organisation)
	for _, organisation := range organisations {
		if err := config.addOrganisation(organisation); err != nil {
			return nil, err
		}
	}
	return &config, nil
}

func (c *Config) addOrganisation(organisation *Organisation) error {
	name := organisation.Name
	if name == "" {
		return bbrcode.Errorf(bbrcode.InvalidConfig, "organisations", "an organisation has no name")
	}
	if c.Organisations[name] != nil {
		return bbrcode.Errorf(bbrcode.InvalidConfig, "organisations", "%q is listed twice", name)
	}
	if limit := organisation.Cap; organisation.Weight < 0 || limit.MilliCPU < 0 || limit.MemoryMB < 0 || limit.Accelerators < 0 {
		return bbrcode.Errorf(bbrcode.InvalidConfig, "organisations", "%q has a negative weight or cap", name)
	}
	c.Organisations[name] = organisation
	for _, key := range organisation.Keys {
		if other := c.byKey[key]; other != nil && other != organisation {
			return bbrcode.Errorf(bbrcode.InvalidConfig, "organisations", "%q and %q have the same key (digest %s)", other.Name, name, key)
		}
		c.byKey[key] = organisation
	}
	return nil
}

// OrganisationOf returns the organisation of a key, or nil if no organisation has it.
func (c *Config) OrganisationOf(key KeyDigest) *Organisation { return c.byKey[key] }
