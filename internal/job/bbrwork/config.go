package bbrwork

import (
	"strings"
	"time"
)

// Advice describes a queue whose steps may run only on upstreams that the
// advice service names.
type Advice struct {
	// CallTime and Each are the service's time for a call and for each upstream
	// named in it.
	CallTime, UpstreamTime time.Duration
	// TicketTTL is how long a ticket holds.
	TicketTTL time.Duration
}

// Queue is a queue of jobs, found by host and path prefix.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority 0 comes first.
	Priority int
	// Attempts is how often a work unit may fail; at least 1.
	Attempts int
	// Stretch times the longest chain of work, and Objective more, is the time in
	// which a job should be completed.
	Stretch   float64
	Objective time.Duration
	// Timeout bounds the answer to a call.
	Timeout time.Duration
	// Advice is nil for a queue without.
	Advice *Advice
}

// Service is a pool of instances.
type Service struct {
	Name string
	// RejectsOverload means that upstreams refuse what does not fit.
	RejectsOverload bool
	// Spare means that the pool's instances are off.
	Spare bool
	// MaxConnections bounds the connections to one upstream.
	MaxConnections int
}

// Config is one version of the operators' configuration. It never changes.
type Config struct {
	Version  int64
	Queues   map[string]*Queue
	Services map[string]*Service
	Limits   Limits

	byHost map[string][]*Queue
}

// Limits bounds callers' requests.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// NewConfig returns a configuration with its index.
func NewConfig(version int64, queues []*Queue, services []*Service, limits Limits) *Config {
	config := &Config{
		Version:  version,
		Queues:   make(map[string]*Queue, len(queues)),
		Services: make(map[string]*Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]*Queue),
	}
	for _, queue := range queues {
		config.Queues[queue.Name] = queue
		config.byHost[queue.Host] = append(config.byHost[queue.Host], queue)
	}
	for _, service := range services {
		config.Services[service.Name] = service
	}
	return config
}

// ServiceIndex returns a number for a service that differs from those of the other
// services.
func (c *Config) ServiceIndex(service string) int {
	index := 0
	for name := range c.Services {
		if name < service {
			index++
		}
	}
	return index
}

// FindQueue returns the queue of the host with the longest prefix of the path, or
// nil. The rest of the path follows the prefix.
func (c *Config) FindQueue(host, path string) (found *Queue, rest string) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, queue := range c.byHost[host] {
		if strings.HasPrefix(path, queue.Prefix) && (found == nil || len(queue.Prefix) > len(found.Prefix)) {
			found = queue
		}
	}
	if found == nil {
		return nil, ""
	}
	return found, path[len(found.Prefix):]
}
